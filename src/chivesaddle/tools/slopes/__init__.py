"""Measurement of how a daemon's cost grows; run as a module, see docs/CAPACITY.md."""
