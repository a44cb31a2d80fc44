"""Tests of fleets of real processes, and of scale runs with hollow gateways."""
