"""Configuration changes through the command line tool."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

from chivesaddle.tools.processes import wait_until

from .conftest import WAIT_TIMEOUT_S

# The design's time limit for applying an accepted change.
MAX_APPLY_DELAY_S = 9.0


def create_plan(deployment, *arguments, url=None):
    result = deployment.cli(*arguments, "--output", "json", url=url)
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)["plan"]["id"]


class TestChange:
    def test_is_applied_by_all_daemons_within_the_time_limit(self, deployment):
        """Guards against a daemon that keeps an old configuration."""
        operator_urls = deployment.fleet.operators
        plan_id = create_plan(deployment, "account", "put", "bakers", "--weight", "2")
        assert "bakers" not in self.accounts(deployment, operator_urls[0])
        done = deployment.cli("confirm", plan_id, "--output", "json")
        accepted_at = time.monotonic()
        assert done.returncode == 0, done.stderr
        revision = json.loads(done.stdout)["revision"]
        assert wait_until(
            lambda: all(
                deployment.configuration(url)["revision"] >= revision
                for url in operator_urls
            ),
            WAIT_TIMEOUT_S,
        )
        assert time.monotonic() - accepted_at < MAX_APPLY_DELAY_S
        for url in operator_urls:
            assert "bakers" in self.accounts(deployment, url)

    def accounts(self, deployment, url):
        return deployment.configuration(url)["accounts_by_id"]

    def test_one_of_two_plans_with_the_same_parent_wins(self, deployment):
        """Guards against operators who overwrite each other's changes unnoticed."""
        operator_urls = deployment.fleet.operators[:2]
        plan_ids = [
            create_plan(deployment, "account", "put", f"racer-{n}", url=url)
            for n, url in enumerate(operator_urls)
        ]
        with ThreadPoolExecutor(2) as pool:
            results = list(
                pool.map(
                    lambda n: deployment.cli(
                        "confirm", plan_ids[n], url=operator_urls[n]
                    ),
                    range(2),
                )
            )
        winner, loser = sorted(results, key=lambda result: result.returncode)
        assert winner.returncode == 0, winner.stderr
        assert loser.returncode == 1
        assert "remedy: " in loser.stderr
        winner_index = results.index(winner)
        for url in operator_urls:
            assert wait_until(
                lambda url=url: (
                    f"racer-{winner_index}" in self.accounts(deployment, url)
                ),
                WAIT_TIMEOUT_S,
            )
            assert f"racer-{1 - winner_index}" not in self.accounts(deployment, url)

    def test_restarted_daemon_applies_it_before_it_serves(self, deployment):
        """Guards against a new daemon that serves with an empty configuration."""
        fleet = deployment.fleet
        fleet.kill("daemon-3")
        done = deployment.cli(
            *("account", "put", "joiners", "--yes", "--output", "json"),
            url=fleet.operators[0],
        )
        assert done.returncode == 0, done.stderr
        revision = json.loads(done.stdout)["confirmation"]["revision"]
        # Returns as soon as /healthz reports success.
        fleet.restart("daemon-3")
        assert deployment.configuration(fleet.operators[2])["revision"] >= revision
        assert deployment.send_completion(
            fleet.callers[2], "after a restart", 3
        ).is_success
