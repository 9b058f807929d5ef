"""Shared code: identifiers, errors, entities, events, settings, logs and metrics."""
