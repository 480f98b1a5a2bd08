"""Adapter to the users' platform: converts its formats and makes no decisions."""
