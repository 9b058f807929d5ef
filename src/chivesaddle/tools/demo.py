"""Demo on a fleet: a prompt is sent again after the engines evicted its KV blocks.

Prints time to first token, recomputed share and link use of a first request, of a
second one with the same prompt through another daemon, and of the fastest of three
requests with new prompts of the same size, which reuse nothing. Exits with status 1 if
a check fails.
"""

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import httpx
import typer

from chivesaddle.standins.blocks import BLOCK_BYTES, token_count
from chivesaddle.standins.expected import expected_text
from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.fleet import Fleet, stop_on_signals
from chivesaddle.tools.processes import HTTP_CLIENT, ToolError, wait_until

ACCOUNT = "tallinn-team"
PROMPT_BYTES = 64 * BLOCK_BYTES
MAX_TOKENS = 24
UNCACHED_REQUESTS = 3
SAVE_TIMEOUT_S = 30.0
# Time until the daemons have received the cache events of the eviction, which engines
# publish with a delay.
EVICTION_EVENT_DELAY_S = 3.0
LINK_POLL_INTERVAL_S = 0.5
MAX_RECOMPUTED_SHARE = 0.5
ENGINE_NAMES = tuple(f"engine-{n}" for n in range(1, len(layout.ENGINE_ZONES) + 1))
STORE_NAMES = tuple(f"store-{n}" for n in range(1, len(layout.STORE_ZONES) + 1))


@dataclass(frozen=True)
class Measurement:
    """One request, measured by its client and by the counters of the fakes.

    Attributes
    ----------
    text : str
        Generated text.
    first_token_s : float
        Seconds from sending the request to the first token.
    recomputed_share : float
        Share of the prompt tokens that the engines computed instead of reusing, 0 to 1.
    link_bytes : int
        Bytes on the links of both stores from the request to the end of the response.
    link_utilisation : float
        Share of the links' capacity used in that time, 0 to 1.
    """

    text: str
    first_token_s: float
    recomputed_share: float
    link_bytes: int
    link_utilisation: float


@dataclass(frozen=True)
class Check:
    """A statement about the run and whether it holds."""

    text: str
    holds: bool


def prompt_text(title: str) -> str:
    """Return a distinct prompt of ``PROMPT_BYTES`` bytes."""
    lines = (f"{title}, section {n}: dates, fees and seats.\n" for n in range(100_000))
    text = ""
    for line in lines:
        text += line
        if len(text) >= PROMPT_BYTES:
            break
    return text[:PROMPT_BYTES]


def sse_values(response: httpx.Response) -> Iterator[dict[str, Any]]:
    """Yield the JSON values of an SSE stream; raises `ToolError` if it ends early."""
    for line in response.iter_lines():
        if line == "data: [DONE]":
            return
        if line.startswith("data: "):
            value = json.loads(line.removeprefix("data: "))
            if "error" in value:
                raise ToolError(f"The stream reports {value['error']}")
            yield value
    raise ToolError("The stream ended without [DONE]")


class Demo:
    """The steps of the demo on a running fleet."""

    def __init__(self, fleet: Fleet, speeds: layout.Speeds) -> None:
        self._fleet = fleet
        self._speeds = speeds
        key = fleet.keys_by_account[ACCOUNT]
        # Connections are kept open, so that only the two warm-up requests set them up.
        self._client = httpx.Client(timeout=60.0)
        self._headers = {"Authorization": f"Bearer {key}"}

    def run(self) -> list[Check]:
        """Run all steps, print the measurements and return the checks."""
        self._request_completion(0, "Good morning.", 2)
        self._request_completion(1, "Good morning.", 2)
        prompt = prompt_text("Course handbook")
        first = self._request_completion(0, prompt, MAX_TOKENS)
        saved = wait_until(lambda: self._is_saved(prompt), SAVE_TIMEOUT_S)
        self._evict_blocks()
        time.sleep(EVICTION_EVENT_DELAY_S)
        second = self._request_completion(1, prompt, MAX_TOKENS)
        uncached = min(
            (
                self._request_completion(
                    1, prompt_text(f"Unknown handbook {n}"), MAX_TOKENS
                )
                for n in range(UNCACHED_REQUESTS)
            ),
            key=lambda measurement: measurement.first_token_s,
        )
        reservations = [self._reserve_seat(0), self._reserve_seat(1)]
        self._print_measurements(
            {"first": first, "second": second, "uncached": uncached}
        )
        expected = expected_text(
            layout.MODEL, layout.WEIGHT_VERSION, prompt, MAX_TOKENS
        )
        return [
            Check("the blocks were saved to a store", saved),
            Check(
                "the second request reuses most of the prompt",
                second.recomputed_share < MAX_RECOMPUTED_SHARE,
            ),
            Check(
                "the second request is faster than the fastest uncached one",
                second.first_token_s < uncached.first_token_s,
            ),
            Check("the first response is the expected text", first.text == expected),
            Check("both responses are equal", second.text == first.text),
            Check(
                "both reservations return the same result",
                reservations[0] == reservations[1],
            ),
            Check("the booking service ran one booking", self._booking_runs() == 1),
        ]

    def _request_completion(
        self, daemon: int, prompt: str, max_tokens: int
    ) -> Measurement:
        body = {
            "model": layout.MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self._wait_until_links_are_idle()
        before, started_at = self._totals(), time.monotonic()
        text, first_token_at = "", None
        with self._client.stream(
            "POST",
            f"{self._fleet.callers[daemon]}/v1/completions",
            json=body,
            headers=self._headers,
        ) as response:
            if response.status_code != 200:
                detail = response.read().decode(errors="replace")
                raise ToolError(
                    f"completion: HTTP {response.status_code}: {detail[:500]}"
                )
            for value in sse_values(response):
                text_delta = "".join(choice["text"] for choice in value["choices"])
                if text_delta and first_token_at is None:
                    first_token_at = time.monotonic()
                text += text_delta
        elapsed_s = time.monotonic() - started_at
        after = self._totals()
        deltas = {name: after[name] - before[name] for name in after}
        link_bytes = deltas["memory_link_bytes"] + deltas["disk_link_bytes"]
        capacity = self._speeds.memory_bytes_per_s + self._speeds.disk_bytes_per_s
        return Measurement(
            text,
            (first_token_at or time.monotonic()) - started_at,
            deltas["computed_prompt_tokens"] / max(1, token_count(prompt)),
            link_bytes,
            link_bytes / (capacity * len(STORE_NAMES) * elapsed_s),
        )

    def _wait_until_links_are_idle(self) -> None:
        # Blocks of an earlier prompt that are still being saved to a store would count
        # as link use of this one.
        previous, current = None, self._totals()
        while current != previous:
            time.sleep(LINK_POLL_INTERVAL_S)
            previous, current = current, self._totals()

    def _totals(self) -> dict[str, int]:
        names = ("computed_prompt_tokens", "memory_link_bytes", "disk_link_bytes")
        counters = [
            self._fleet.counters(name) for name in (*ENGINE_NAMES, *STORE_NAMES)
        ]
        return {name: sum(c.get(name, 0) for c in counters) for name in names}

    def _is_saved(self, prompt: str) -> bool:
        block_count = len(prompt.encode()) // BLOCK_BYTES
        for name in STORE_NAMES:
            url = f"{self._fleet.urls_by_name[name]}/manifests"
            manifest_page = HTTP_CLIENT.get(url, params={"limit": 1_000}).json()
            if any(len(m["blocks"]) >= block_count for m in manifest_page["manifests"]):
                return True
        return False

    def _evict_blocks(self) -> None:
        for name in ENGINE_NAMES:
            url = f"{self._fleet.urls_by_name[name]}/control/evict"
            HTTP_CLIENT.post(url, json={}).raise_for_status()

    def _reserve_seat(self, daemon: int) -> Any:
        response = HTTP_CLIENT.post(
            f"{self._fleet.callers[daemon]}/v1/services/{layout.SERVICE}/reserve_seat",
            json={"course": "negotiation-1", "member": "member-17"},
            headers={**self._headers, "Idempotency-Key": "demo-reservation-1"},
            timeout=30.0,
        )
        if not response.is_success:
            raise ToolError(
                f"reservation: HTTP {response.status_code}: {response.text[:500]}"
            )
        return response.json()

    def _booking_runs(self) -> int:
        return sum(
            run["operation"] == "reserve_seat"
            for n in range(1, len(layout.BOOKING_ZONES) + 1)
            for run in HTTP_CLIENT.get(
                f"{self._fleet.urls_by_name[f'booking-{n}']}/control/log"
            ).json()["runs"]
        )

    def _print_measurements(self, rows: dict[str, Measurement]) -> None:
        header = ("", "first token", "recomputed", "link bytes", "link use")
        typer.echo("{:<12}{:>14}{:>13}{:>14}{:>11}".format(*header))
        for name, row in rows.items():
            typer.echo(
                f"{name:<12}{row.first_token_s * 1_000:>11.0f} ms"
                f"{row.recomputed_share:>13.1%}{row.link_bytes:>14,}"
                f"{row.link_utilisation:>11.2%}"
            )


def main(
    daemons: Annotated[int, typer.Option(help="Number of daemons", min=2)] = 3,
    build_dir: Annotated[
        Path, typer.Option(help="Directory for settings and logs")
    ] = Path("build"),
) -> None:
    """Start a fleet, run the demo on it and stop it."""
    stop_on_signals()
    speeds = layout.Speeds()
    try:
        with Fleet(build_dir, daemons=daemons, speeds=speeds) as fleet:
            checks = Demo(fleet, speeds).run()
    except (ToolError, httpx.HTTPError) as error:
        typer.echo(f"demo: {error}", err=True)
        raise typer.Exit(1) from None
    for check in checks:
        typer.echo(f"{'holds' if check.holds else 'FAILS'}: {check.text}")
    if not all(check.holds for check in checks):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)


__all__ = ["Check", "Demo", "Measurement"]
