"""Tests of the decisions, which do no I/O."""
