"""Tests of whole processes: hot restarts, and long values."""
