"""Fakes of the external systems: small HTTP processes with injectable faults."""
