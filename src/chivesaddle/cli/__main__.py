"""Run the command-line tool for operators with ``python -m chivesaddle.cli``."""

from chivesaddle.cli.app import main

if __name__ == "__main__":
    main()
