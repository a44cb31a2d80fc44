"""Every decision of the gateway, free of I/O: events in, actions out."""
