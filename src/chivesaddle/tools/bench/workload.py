"""Seeded workloads of the two deployments: prompts, accounts and arrivals."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from chivesaddle.standins.blocks import BLOCK_BYTES, token_count
from chivesaddle.tools import kursuskoda

# Prompts of an account differ in popularity as 1 / rank ** 0.8 (Zipf-like).
ZIPF_EXPONENT = 0.8
LARGE, SMALL = 4.0, 1.0


@dataclass(frozen=True)
class RequestClass:
    """One kind of request.

    Attributes
    ----------
    share : float
        Part of all requests.
    interactive : bool
        Whether a caller waits for it.
    documents : str
        Group of the documents that its prompts start with.
    question_bytes : tuple of int
        Smallest and largest length of the part that differs in every request.
    max_tokens : int
        Length of the answer.
    """

    name: str
    share: float
    interactive: bool
    documents: str
    question_bytes: tuple[int, int]
    max_tokens: int


@dataclass(frozen=True)
class Documents:
    """A group of documents: how many over all accounts, and their length in blocks."""

    count: int
    blocks: tuple[int, int]


@dataclass(frozen=True)
class Shape:
    """A deployment and its workload."""

    name: str
    engine_zones: tuple[str, ...]
    store_zones: tuple[str, ...]
    weights_by_account: dict[str, float]
    classes: tuple[RequestClass, ...]
    documents_by_group: dict[str, Documents]
    engine_cache_blocks: int
    store_memory_blocks: int
    store_disk_blocks: int

    @property
    def largest(self) -> str:
        """The account with the highest weight."""
        return max(self.weights_by_account, key=lambda a: self.weights_by_account[a])

    def small_accounts(self) -> frozenset[str]:
        """Return the accounts with the lowest weight."""
        least = min(self.weights_by_account.values())
        return frozenset(a for a, w in self.weights_by_account.items() if w == least)

    def share(self, account: str) -> float:
        """Return the account's part of the summed weights."""
        weights = self.weights_by_account
        return weights[account] / sum(weights.values())

    def scaled(self, part: float) -> "Shape":
        """Return a smaller shape with the same proportions, for tests."""
        return replace(
            self,
            documents_by_group={
                name: replace(group, count=max(10, int(group.count * part)))
                for name, group in self.documents_by_group.items()
            },
            engine_cache_blocks=max(64, int(self.engine_cache_blocks * part)),
            store_memory_blocks=max(64, int(self.store_memory_blocks * part)),
        )


# The documents are about four times what the engines' caches hold together.
KURSUSKODA = Shape(
    name="kursuskoda",
    engine_zones=kursuskoda.ENGINE_ZONES,
    store_zones=kursuskoda.STORE_ZONES,
    weights_by_account={
        account: LARGE if weight > 3.0 else SMALL
        for account, weight in kursuskoda.WEIGHTS_BY_ACCOUNT.items()
    },
    classes=(
        RequestClass("summary", 0.55, True, "handbooks", (120, 600), 32),
        RequestClass("eligibility", 0.2, True, "handbooks", (80, 300), 8),
        RequestClass("classification", 0.25, True, "instructions", (200, 900), 4),
    ),
    documents_by_group={
        "handbooks": Documents(160, (16, 48)),
        "instructions": Documents(10, (3, 5)),
    },
    engine_cache_blocks=256,
    store_memory_blocks=1_000,
    store_disk_blocks=9_000,
)
KITAMI = Shape(
    name="kitami",
    engine_zones=("kitami-a", "kitami-b", "sapporo-a", "sapporo-b", "kitami-a"),
    store_zones=("kitami-a", "sapporo-a"),
    weights_by_account={
        f"label-{n}": LARGE if n in (1, 2) else SMALL for n in range(1, 11)
    },
    classes=(
        RequestClass("session_review", 0.4, False, "albums", (200, 900), 48),
        RequestClass("loudness", 0.35, True, "meters", (100, 700), 6),
        RequestClass("format_gate", 0.25, True, "gates", (100, 400), 1),
    ),
    documents_by_group={
        "albums": Documents(100, (40, 96)),
        "meters": Documents(40, (2, 5)),
        "gates": Documents(10, (1, 2)),
    },
    engine_cache_blocks=340,
    store_memory_blocks=1_400,
    store_disk_blocks=12_000,
)
SHAPES = (KURSUSKODA, KITAMI)


@dataclass(frozen=True)
class Arrival:
    """A request of a caller, ``at`` seconds after the measurement starts."""

    at: float
    number: int
    account: str
    kind: RequestClass
    prompt: str
    daemon: int


class Workload:
    """The documents of a shape and the arrivals drawn from them.

    The same seed gives the same documents and arrivals.
    """

    def __init__(self, shape: Shape, seed: int, daemons: int) -> None:
        self.shape = shape
        self._seed = seed
        self._daemons = daemons
        self.documents: dict[tuple[str, str], list[str]] = {}
        source = random.Random(f"{seed}/{shape.name}/documents")
        accounts = list(shape.weights_by_account)
        for group, wanted in shape.documents_by_group.items():
            for account in accounts:
                count = max(1, round(wanted.count * shape.share(account)))
                self.documents[group, account] = [
                    _text(source, _length(source, wanted.blocks)) for _ in range(count)
                ]

    def first_visits(self) -> list[Arrival]:
        """Return one request for each document, in random order, all at time 0."""
        source = random.Random(f"{self._seed}/{self.shape.name}/first")
        kinds = {kind.documents: kind for kind in self.shape.classes}
        visits = [
            (account, kinds[group], document)
            for (group, account), documents in self.documents.items()
            for document in documents
        ]
        source.shuffle(visits)
        return [
            Arrival(0.0, n, account, kind, document, source.randrange(self._daemons))
            for n, (account, kind, document) in enumerate(visits)
        ]

    def capacity(self) -> float:
        """Return the requests/s that the engines could serve without any reuse."""
        mean = 0.0
        for kind in self.shape.classes:
            sizes = [
                token_count(document)
                for (group, _), documents in self.documents.items()
                if group == kind.documents
                for document in documents
            ]
            question = sum(kind.question_bytes) / 2 / 4
            mean += kind.share * (sum(sizes) / len(sizes) + question)
        speeds = kursuskoda.Speeds()
        return len(self.shape.engine_zones) * speeds.prefill_tokens_per_s / mean

    def arrivals(
        self, rates_by_account: dict[str, float], duration_s: float
    ) -> list[Arrival]:
        """Draw Poisson arrivals of each account at its rate in requests/s.

        Each account draws from its own stream, so that its arrivals are the same
        whatever the other accounts offer.
        """
        drawn: list[Arrival] = []
        for account, rate in rates_by_account.items():
            source = random.Random(f"{self._seed}/{self.shape.name}/{account}")
            at = source.expovariate(rate) if rate > 0 else duration_s
            while at < duration_s:
                drawn.append(self._draw(source, account, at))
                at += source.expovariate(rate)
        drawn.sort(key=lambda a: (a.at, a.account))
        return [replace(arrival, number=n) for n, arrival in enumerate(drawn)]

    def _draw(self, source: random.Random, account: str, at: float) -> Arrival:
        classes = self.shape.classes
        kind = source.choices(classes, [c.share for c in classes])[0]
        documents = self.documents[kind.documents, account]
        weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, len(documents) + 1)]
        document = source.choices(documents, weights)[0]
        question = _text(source, source.randint(*kind.question_bytes))
        daemon = source.randrange(self._daemons)
        return Arrival(at, 0, account, kind, document + question, daemon)


def _length(source: random.Random, blocks: tuple[int, int]) -> int:
    return source.randint(blocks[0] * BLOCK_BYTES, blocks[1] * BLOCK_BYTES)


def _text(source: random.Random, length: int) -> str:
    return source.randbytes(-(-length // 2)).hex()[:length]


def shares_of(shape: Shape, total: float) -> Iterator[tuple[str, float]]:
    """Yield each account and its part of ``total``."""
    for account in shape.weights_by_account:
        yield account, total * shape.share(account)


__all__ = [
    "KITAMI",
    "KURSUSKODA",
    "SHAPES",
    "Arrival",
    "Documents",
    "RequestClass",
    "Shape",
    "Workload",
    "shares_of",
]
