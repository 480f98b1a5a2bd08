"""Liveness, messaging and state transfer between entries."""
