"""Serving system for prompts that return after long gaps."""
