"""Writes an id of the sources: ``python3 deploy/build_id.py FILE``.

Daemons read it instead of all sources, so that their start takes no longer.
"""

import hashlib
import sys
from pathlib import Path

ID_CHARACTERS = 12


def hash_sources(sources: Path) -> str:
    """Return an id of the Python files below a directory, by names and contents."""
    digest = hashlib.sha256()
    for path in sorted(sources.rglob("*.py")):
        digest.update(f"{path.relative_to(sources)}\n".encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()[:ID_CHARACTERS]


if __name__ == "__main__":
    root = Path(__file__).resolve().parent.parent
    Path(sys.argv[1]).write_text(hash_sources(root / "src"))
