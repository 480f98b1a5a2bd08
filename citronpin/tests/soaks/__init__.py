"""A fault soak: real gateway processes among faults that come from outside."""
