"""Benchmarks, the simulations that they run and the load generator."""
