"""Starts the serving daemon from a checkout: ``python3 deploy/serve.py``."""

import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chivesaddle.serving.main import main

sys.exit(main(os.environ.get("CHIVESADDLE_CONFIG", "settings.json")))
