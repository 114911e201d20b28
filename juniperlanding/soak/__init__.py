"""A randomized fault soak: real `serve` processes on loopback under overlapping troubles, and its oracle."""
