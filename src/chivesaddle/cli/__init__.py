"""Command-line tool for operators."""

from chivesaddle.cli.app import app, main

__all__ = ["app", "main"]
