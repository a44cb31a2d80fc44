"""Tests of a whole gateway on loopback sockets."""
