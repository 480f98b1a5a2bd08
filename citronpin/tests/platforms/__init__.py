"""A stand-in of the users' platform, in memory and on the paused clock."""
