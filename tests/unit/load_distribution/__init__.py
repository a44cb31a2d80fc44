"""Tests of the load distribution figures and of the readers of their input."""
