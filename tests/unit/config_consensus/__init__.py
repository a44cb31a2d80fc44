"""Tests of config consensus: the rules in a simulated network, and parts of the services."""
