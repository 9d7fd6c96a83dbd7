"""Tests of the soak and a short play of it."""
