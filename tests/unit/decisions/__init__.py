"""Tests of the decision logic, which does no I/O."""
