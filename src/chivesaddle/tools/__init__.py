"""Programs for development: a fleet of processes on loopback and a demo on it."""
