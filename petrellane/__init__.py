"""petrellane: an admission gateway that leases customers' quotas from a shared counter."""

__version__ = "0.2.0"
