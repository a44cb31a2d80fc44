"""petrellane: an admission gateway that leases customers' credit from a shared count."""

__version__ = "0.2.0"
