"""Runs the operators' command-line tool: ``python -m chivesaddle.cli``."""

from chivesaddle.cli.app import main

if __name__ == "__main__":
    main()
