"""Measures routing and KV reuse under load on a virtual clock."""
