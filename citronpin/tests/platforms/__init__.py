"""In-memory stand-in of the users' platform, driven by the paused clock."""
