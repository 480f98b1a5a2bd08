"""Whole systems in one process, and the demonstration."""
