"""Shared base: identifiers, errors, entities, events, settings, logs and metrics."""
