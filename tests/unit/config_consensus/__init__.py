"""Tests of config consensus: its rules in a simulated network, and parts of its services."""
