"""Tests of the simulated fleet: seeded runs, planted faults, scenario files and invariants."""
