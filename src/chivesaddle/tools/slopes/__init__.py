"""Measures how a daemon's resource use grows; run as a module, see docs/CAPACITY.md."""
