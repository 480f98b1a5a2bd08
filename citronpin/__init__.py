"""Serves language models whose replicas span several machines."""

__version__ = "0.1.0"
