"""Unit tests of the package `operation`, without sockets."""
