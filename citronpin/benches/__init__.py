"""Benchmarks and load."""
