"""The serving daemon on the platform: composes the slices into one process."""
