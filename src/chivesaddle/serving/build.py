"""Names the sources that a daemon runs, for its logs."""

from pathlib import Path

# Id of sources that were not built for a deployment, such as those of a checkout.
NOT_BUILT = "not built"
# Written by ``deploy/build_id.py``.
BUILD_FILE = Path(__file__).resolve().parents[3] / "target" / "build"


def read_build_id(path: Path = BUILD_FILE) -> str:
    """Return the id that the build wrote, `NOT_BUILT` if there is none."""
    try:
        return path.read_text().strip()
    except (OSError, ValueError):
        return NOT_BUILT


__all__ = ["NOT_BUILT", "read_build_id"]
