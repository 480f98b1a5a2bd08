"""Soak test that runs real gateway processes under injected faults."""
