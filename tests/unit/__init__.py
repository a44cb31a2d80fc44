"""Tests of one part at a time; few start a process."""
