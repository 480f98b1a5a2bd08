"""Policies for admission, rate limits, routing, failure detection and repair.

A policy decides from the state and the clock time it is given and does no input or
output of its own.
"""
