"""Integration tests of a complete gateway on loopback sockets."""
