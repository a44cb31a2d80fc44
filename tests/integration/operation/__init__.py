"""Tests of complete gateway processes: hot restarts and long values."""
