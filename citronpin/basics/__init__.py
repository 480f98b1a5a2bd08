"""Modules that all parts use: ids, errors, clocks, settings, events, metrics, logs."""
