"""Tests of operation without a socket."""
