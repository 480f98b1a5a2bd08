"""Connects the gateway to the users' platform: converts formats, decides nothing."""
