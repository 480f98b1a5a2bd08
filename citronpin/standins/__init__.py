"""Stand-ins that simulate the platform services and backend servers."""
