"""The entry, which wires its tasks together, and its admin pages."""
