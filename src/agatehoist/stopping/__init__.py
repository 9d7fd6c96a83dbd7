"""Decisions of a process that has been told to stop, apart from any network."""
