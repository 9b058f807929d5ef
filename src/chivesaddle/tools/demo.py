"""Demo on a fleet: a prompt returns after its blocks left the engines' memory.

Prints time to first token, recomputed share and link use of a first ask, a second ask
through another daemon, and asks of the same size that were never seen before (the naive
choice, no reuse). Ends with status 1 if a claim does not hold.
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
from chivesaddle.tools import kursuskoda as shape
from chivesaddle.tools.fleet import Fleet, stop_on_signals
from chivesaddle.tools.processes import HTTP, ToolError, wait_until

ACCOUNT = "tallinn-team"
PROMPT_BYTES = 64 * BLOCK_BYTES
MAX_TOKENS = 24
NAIVE_ASKS = 3
SAVE_WAIT_S = 30.0
# Daemons learn of the eviction from cache events, which engines publish late.
GAP_S = 3.0
IDLE_S = 0.5
MOST = 0.5
ENGINES = tuple(f"engine-{n}" for n in range(1, len(shape.ENGINE_ZONES) + 1))
STORES = tuple(f"store-{n}" for n in range(1, len(shape.STORE_ZONES) + 1))


@dataclass(frozen=True)
class Measurement:
    """One ask as its caller and the fakes saw it.

    Attributes
    ----------
    text : str
        Whole answer.
    first_token_s : float
        Seconds from sending the request to the first token.
    recomputed_share : float
        Part of the prompt tokens that the engines computed instead of reusing.
    link_bytes : int
        Bytes on the links of both stores from the request to the end of the answer.
    link_utilisation : float
        Part of the links' capacity used in that time.
    """

    text: str
    first_token_s: float
    recomputed_share: float
    link_bytes: int
    link_utilisation: float


@dataclass(frozen=True)
class Claim:
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
    """Yield the JSON values of a stream; raises `ToolError` if it ends early."""
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

    def __init__(self, fleet: Fleet, speeds: shape.Speeds) -> None:
        self._fleet = fleet
        self._speeds = speeds
        key = fleet.keys_by_account[ACCOUNT]
        # Connections are kept, so that only the first asks include setting them up.
        self._client = httpx.Client(timeout=60.0)
        self._headers = {"Authorization": f"Bearer {key}"}

    def run(self) -> list[Claim]:
        """Run all steps, print the measurements and return the claims."""
        self._ask(0, "Good morning.", 2)
        self._ask(1, "Good morning.", 2)
        prompt = prompt_text("Course handbook")
        first = self._ask(0, prompt, MAX_TOKENS)
        saved = wait_until(lambda: self._is_saved(prompt), SAVE_WAIT_S)
        self._evict()
        time.sleep(GAP_S)
        second = self._ask(1, prompt, MAX_TOKENS)
        naive = min(
            (
                self._ask(1, prompt_text(f"Unknown handbook {n}"), MAX_TOKENS)
                for n in range(NAIVE_ASKS)
            ),
            key=lambda measurement: measurement.first_token_s,
        )
        answers = [self._reserve(0), self._reserve(1)]
        self._print({"first ask": first, "second ask": second, "naive": naive})
        expected = expected_text(shape.MODEL, shape.WEIGHT_VERSION, prompt, MAX_TOKENS)
        return [
            Claim("the blocks were saved to a store", saved),
            Claim(
                "the second ask reuses most of the prompt",
                second.recomputed_share < MOST,
            ),
            Claim(
                "the second ask is faster than the fastest naive one",
                second.first_token_s < naive.first_token_s,
            ),
            Claim("the first answer is the expected text", first.text == expected),
            Claim("both answers are equal", second.text == first.text),
            Claim("both reservations answer the same", answers[0] == answers[1]),
            Claim("the booking service ran one booking", self._booking_runs() == 1),
        ]

    def _ask(self, daemon: int, prompt: str, max_tokens: int) -> Measurement:
        body = {
            "model": shape.MODEL,
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
                raise ToolError(f"Ask answered {response.status_code}: {detail[:500]}")
            for value in sse_values(response):
                piece = "".join(choice["text"] for choice in value["choices"])
                if piece and first_token_at is None:
                    first_token_at = time.monotonic()
                text += piece
        elapsed_s = time.monotonic() - started_at
        after = self._totals()
        used = {name: after[name] - before[name] for name in after}
        link_bytes = used["memory_link_bytes"] + used["disk_link_bytes"]
        capacity = self._speeds.memory_bytes_per_s + self._speeds.disk_bytes_per_s
        return Measurement(
            text,
            (first_token_at or time.monotonic()) - started_at,
            used["computed_prompt_tokens"] / max(1, token_count(prompt)),
            link_bytes,
            link_bytes / (capacity * len(STORES) * elapsed_s),
        )

    def _wait_until_links_are_idle(self) -> None:
        # Saves of an earlier prompt would count as link use of this one.
        earlier, now = None, self._totals()
        while now != earlier:
            time.sleep(IDLE_S)
            earlier, now = now, self._totals()

    def _totals(self) -> dict[str, int]:
        names = ("computed_prompt_tokens", "memory_link_bytes", "disk_link_bytes")
        found = [self._fleet.counters(name) for name in (*ENGINES, *STORES)]
        return {name: sum(c.get(name, 0) for c in found) for name in names}

    def _is_saved(self, prompt: str) -> bool:
        wanted = len(prompt.encode()) // BLOCK_BYTES
        for name in STORES:
            url = f"{self._fleet.urls_by_name[name]}/manifests"
            page = HTTP.get(url, params={"limit": 1_000}).json()
            if any(len(m["blocks"]) >= wanted for m in page["manifests"]):
                return True
        return False

    def _evict(self) -> None:
        for name in ENGINES:
            url = f"{self._fleet.urls_by_name[name]}/control/evict"
            HTTP.post(url, json={}).raise_for_status()

    def _reserve(self, daemon: int) -> Any:
        response = HTTP.post(
            f"{self._fleet.callers[daemon]}/v1/services/{shape.SERVICE}/reserve_seat",
            json={"course": "negotiation-1", "member": "member-17"},
            headers={**self._headers, "Idempotency-Key": "demo-reservation-1"},
            timeout=30.0,
        )
        if not response.is_success:
            raise ToolError(
                f"Reservation answered {response.status_code}: {response.text[:500]}"
            )
        return response.json()

    def _booking_runs(self) -> int:
        return sum(
            run["operation"] == "reserve_seat"
            for n in range(1, len(shape.BOOKING_ZONES) + 1)
            for run in HTTP.get(
                f"{self._fleet.urls_by_name[f'booking-{n}']}/control/log"
            ).json()["runs"]
        )

    def _print(self, rows: dict[str, Measurement]) -> None:
        head = ("", "first token", "recomputed", "link bytes", "link use")
        typer.echo("{:<12}{:>14}{:>13}{:>14}{:>11}".format(*head))
        for name, row in rows.items():
            typer.echo(
                f"{name:<12}{row.first_token_s * 1_000:>11.0f} ms"
                f"{row.recomputed_share:>13.1%}{row.link_bytes:>14,}"
                f"{row.link_utilisation:>11.2%}"
            )


def main(
    daemons: Annotated[int, typer.Option(help="Number of daemons", min=2)] = 3,
    build_dir: Annotated[
        Path, typer.Option(help="Directory of settings and logs")
    ] = Path("build"),
) -> None:
    """Run the demo on a fleet of its own and stop it afterwards."""
    stop_on_signals()
    speeds = shape.Speeds()
    try:
        with Fleet(build_dir, daemons=daemons, speeds=speeds) as fleet:
            claims = Demo(fleet, speeds).run()
    except (ToolError, httpx.HTTPError) as error:
        typer.echo(f"demo: {error}", err=True)
        raise typer.Exit(1) from None
    for claim in claims:
        typer.echo(f"{'holds' if claim.holds else 'FAILS'}: {claim.text}")
    if not all(claim.holds for claim in claims):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)


__all__ = ["Claim", "Demo", "Measurement"]
