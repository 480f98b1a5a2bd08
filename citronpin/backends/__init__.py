"""Engines and plain services, and sending work to them."""
