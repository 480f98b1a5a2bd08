"""Adapter to the users' platform: translates its words, decides nothing."""
