"""Tests of the software versions of endpoints."""
