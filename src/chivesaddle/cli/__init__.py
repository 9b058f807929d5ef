"""The operators' command-line tool."""

from chivesaddle.cli.app import app, main

__all__ = ["app", "main"]
