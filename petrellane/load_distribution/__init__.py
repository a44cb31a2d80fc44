"""How even load is over hosts: figures free of I/O, what they are read from, and how they are shown."""
