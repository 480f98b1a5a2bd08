"""The entry: all tasks wired together."""
