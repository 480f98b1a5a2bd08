"""Systems of stand-ins and entries in one process, and the demonstration."""
