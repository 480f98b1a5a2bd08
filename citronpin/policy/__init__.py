"""Decisions as functions of state and time."""
