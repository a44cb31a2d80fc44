"""Tests of petrellane; README.md says where each kind is."""
