"""Start of a daemon by ``deploy/serve.py``, with the packages of a deployment only."""

import json
import re
import subprocess
import sys
from importlib.metadata import packages_distributions
from pathlib import Path
from sysconfig import get_path

import pytest

from chivesaddle.tools.ports import free_ports

ROOT = Path(__file__).parents[2]
# Packages outside the standard library that a start may import.
START_PACKAGES = {
    "attr",
    "attrs",
    "automat",
    "constantly",
    "grpclib",
    "h11",
    "h2",
    "hpack",
    "hyperframe",
    "incremental",
    "msgspec",
    "multidict",
    "prometheus_client",
    "twisted",
    "typing_extensions",
    "xxhash",
    "zope",
}
# Own packages that serve requests; all others belong to tools and other daemons.
OWN_PACKAGES = {
    "cachemap",
    "core",
    "fleet",
    "forwarding",
    "http1",
    "objects",
    "placement",
    "platform",
    "serving",
    "weights",
}
# Modules of the standard library and of this project that cost several milliseconds
# each and that a start once imported or could easily import.
HEAVY_MODULES = {
    "argparse",
    "chivesaddle.objects.memory",
    "importlib.metadata",
    "multiprocessing",
    "unittest",
    "xml",
}


@pytest.fixture
def deployed_packages(tmp_path):
    """Directory with the packages that ``deploy/requirements.txt`` installs."""
    lines = (ROOT / "deploy/requirements.txt").read_text().split()
    deployed = {line.partition("==")[0].lower().replace("-", "_") for line in lines}
    directory = tmp_path / "deps"
    directory.mkdir()
    for package, distributions in packages_distributions().items():
        names = {name.lower().replace("-", "_") for name in distributions}
        for file in (package, f"{package}.py"):
            target = Path(get_path("purelib")) / file
            if names & deployed and target.exists():
                (directory / file).symlink_to(target)
    return directory


@pytest.fixture
def imported_modules(tmp_path, deployed_packages):
    """Names of all modules that a daemon imported until it listened."""
    names = ["callers", "readiness", "peers", "addresses", "metrics", "store"]
    addresses = {
        name: f"127.0.0.1:{port}"
        for name, port in zip(names, free_ports(6), strict=True)
    }
    settings = {
        "daemon_id": "d",
        "zone": "z",
        "store": {"address": addresses.pop("store")},
        "listen": addresses,
        "bounds": {
            "retry_ratio": 0.2,
            "retry_slack": 60,
            "retry_window_s": 10,
            "older_weights_s": 8,
            "shutdown_s": 8,
            "address_valid_most_s": 5,
        },
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    import_times = tmp_path / "import_times"
    with import_times.open("wb") as errors:
        process = subprocess.Popen(
            # Without the site module, packages of this checkout are not found.
            [sys.executable, "-S", "-X", "importtime", ROOT / "deploy/serve.py"],
            env={
                "PYTHONPATH": str(deployed_packages),
                "CHIVESADDLE_CONFIG": str(path),
            },
            stdout=subprocess.PIPE,
            stderr=errors,
            text=True,
        )
        has_started = False
        for line in process.stdout:
            has_started = "[serving] started" in line
            if has_started:
                process.kill()
                break
    process.wait()
    assert has_started, import_times.read_text()[-2000:]
    return set(re.findall(r"\| +(\S+)$", import_times.read_text(), re.MULTILINE))


def test_start_imports_only_what_a_serving_daemon_runs(
    imported_modules, deployed_packages
):
    """Guards against heavy imports: each start of each machine pays for all of them.

    Also fails if a start needs a package that ``deploy/requirements.txt`` lacks.
    """
    # Modules that were not found are listed too.
    found = {file.stem for file in deployed_packages.iterdir()}
    top_level = {name.partition(".")[0] for name in imported_modules}
    assert top_level & found == START_PACKAGES
    own = {
        name.split(".")[1]
        for name in imported_modules
        if name.startswith("chivesaddle.")
    }
    assert own == OWN_PACKAGES
    assert not imported_modules & HEAVY_MODULES
