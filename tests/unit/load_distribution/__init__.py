"""Figures of evenness: planted herds, swings and idle hosts are seen, chance is not taken for them."""
