"""The serving daemon on the platform: connects its components in one process."""
