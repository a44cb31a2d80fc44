"""Tests of whole gateways and of fleets of processes."""
