"""How staff operate a gateway: rules free of I/O (`states`) and what carries them (`management`)."""
