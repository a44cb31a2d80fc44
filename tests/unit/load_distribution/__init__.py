"""Figures of load distribution: herds, swings and idle hosts are found, and chance is not."""
