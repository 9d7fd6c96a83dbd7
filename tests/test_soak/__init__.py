"""Tests of the soak, with short runs of it."""
