"""Randomised soak test of gateway processes with faults injected from outside."""
