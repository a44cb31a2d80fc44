"""Unit tests of the configuration."""
