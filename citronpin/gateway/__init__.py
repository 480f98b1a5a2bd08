"""Serving callers from a fleet that a platform lists: routes, groups, placement."""
