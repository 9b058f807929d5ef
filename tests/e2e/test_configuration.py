"""Configuration changes through the command line tool."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from chivesaddle.tools.processes import wait_until

from .conftest import WAIT_S

# Bound of the design for an accepted change.
IN_FORCE_S = 9.0


def plan(deployment, *arguments, url=None):
    planned = deployment.cli(*arguments, "--output", "json", url=url)
    assert planned.returncode == 0, planned.stderr
    return json.loads(planned.stdout)["plan"]["id"]


class TestChange:
    def test_is_in_force_everywhere_within_the_bound(self, deployment):
        """Guards against a daemon that keeps an old configuration."""
        operators = deployment.fleet.operators
        id = plan(deployment, "account", "put", "bakers", "--weight", "2")
        assert "bakers" not in self.accounts(deployment, operators[0])
        done = deployment.cli("confirm", id, "--output", "json")
        accepted_at = time.monotonic()
        assert done.returncode == 0, done.stderr
        revision = json.loads(done.stdout)["revision"]
        assert wait_until(
            lambda: all(
                deployment.configuration(url)["revision"] >= revision
                for url in operators
            ),
            WAIT_S,
        )
        assert time.monotonic() - accepted_at < IN_FORCE_S
        for url in operators:
            assert "bakers" in self.accounts(deployment, url)

    def accounts(self, deployment, url):
        return deployment.configuration(url)["accounts_by_id"]

    def test_of_two_plans_with_one_parent_one_wins(self, deployment):
        """Guards against two operators who overwrite each other unnoticed."""
        operators = deployment.fleet.operators[:2]
        ids = [
            plan(deployment, "account", "put", f"racer-{n}", url=url)
            for n, url in enumerate(operators)
        ]
        with ThreadPoolExecutor(2) as pool:
            results = list(
                pool.map(
                    lambda n: deployment.cli("confirm", ids[n], url=operators[n]),
                    range(2),
                )
            )
        winner, loser = sorted(results, key=lambda result: result.returncode)
        assert winner.returncode == 0, winner.stderr
        assert loser.returncode == 1
        assert "remedy: " in loser.stderr
        won = results.index(winner)
        for url in operators:
            assert wait_until(
                lambda url=url: f"racer-{won}" in self.accounts(deployment, url),
                WAIT_S,
            )
            assert f"racer-{1 - won}" not in self.accounts(deployment, url)

    def test_a_restarted_daemon_has_it_before_it_serves(self, deployment):
        """Guards against a new daemon that serves with an empty configuration."""
        fleet = deployment.fleet
        fleet.kill("daemon-3")
        done = deployment.cli(
            *("account", "put", "joiners", "--yes", "--output", "json"),
            url=fleet.operators[0],
        )
        assert done.returncode == 0, done.stderr
        revision = json.loads(done.stdout)["confirmation"]["revision"]
        # Returns with the first positive answer of /healthz.
        fleet.restart("daemon-3")
        assert deployment.configuration(fleet.operators[2])["revision"] >= revision
        assert deployment.complete(fleet.callers[2], "after a restart", 3).is_success
