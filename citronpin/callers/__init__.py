"""The filter chain that the requests of callers pass."""
