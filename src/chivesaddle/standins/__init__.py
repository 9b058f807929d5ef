"""Fakes of the external systems: small HTTP servers with injectable faults."""
