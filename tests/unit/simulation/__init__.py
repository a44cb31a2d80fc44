"""The simulated fleet: seeded runs, planted faults, scenario files, and the invariants."""
