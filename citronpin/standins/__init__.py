"""Stand-ins of the platform and of back ends."""
