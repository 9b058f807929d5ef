"""Seeded workloads of the two deployments: prompts, accounts and arrivals."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace

from chivesaddle.standins.blocks import BLOCK_BYTES, token_count
from chivesaddle.tools import kursuskoda

# The popularity of an account's documents falls as 1 / rank ** 0.8 (Zipf-like).
ZIPF_EXPONENT = 0.8
LARGE_WEIGHT, SMALL_WEIGHT = 4.0, 1.0


@dataclass(frozen=True)
class RequestClass:
    """Requests of one kind: their share, documents and lengths.

    Attributes
    ----------
    share : float
        Fraction of all requests.
    interactive : bool
        Whether a caller waits for the answer; the others are batch requests.
    document_group : str
        Group of the documents that the prompts start with.
    question_bytes : tuple of int
        Smallest and largest length of the text that follows the document and differs
        in every request.
    max_tokens : int
        Length of the answer in tokens.
    """

    name: str
    share: float
    interactive: bool
    document_group: str
    question_bytes: tuple[int, int]
    max_tokens: int


@dataclass(frozen=True)
class DocumentGroup:
    """Number of documents over all accounts, and range of their length in blocks."""

    count: int
    block_range: tuple[int, int]


@dataclass(frozen=True)
class Scenario:
    """A deployment and its workload."""

    name: str
    engine_zones: tuple[str, ...]
    store_zones: tuple[str, ...]
    weights_by_account: dict[str, float]
    classes: tuple[RequestClass, ...]
    document_groups_by_name: dict[str, DocumentGroup]
    engine_cache_blocks: int
    store_memory_blocks: int
    store_disk_blocks: int

    @property
    def largest_account(self) -> str:
        """The account with the highest weight."""
        return max(self.weights_by_account, key=lambda a: self.weights_by_account[a])

    def small_accounts(self) -> frozenset[str]:
        """Return the accounts with the lowest weight."""
        lowest = min(self.weights_by_account.values())
        return frozenset(a for a, w in self.weights_by_account.items() if w == lowest)

    def account_share(self, account: str) -> float:
        """Return the account's fraction of the sum of all weights."""
        weights = self.weights_by_account
        return weights[account] / sum(weights.values())

    def scaled(self, factor: float) -> "Scenario":
        """Return a smaller scenario for tests.

        The number of documents and the engine and store memory sizes are scaled.
        """
        return replace(
            self,
            document_groups_by_name={
                name: replace(group, count=max(10, int(group.count * factor)))
                for name, group in self.document_groups_by_name.items()
            },
            engine_cache_blocks=max(64, int(self.engine_cache_blocks * factor)),
            store_memory_blocks=max(64, int(self.store_memory_blocks * factor)),
        )


# All documents together are about four times as large as all engines' caches.
KURSUSKODA = Scenario(
    name="kursuskoda",
    engine_zones=kursuskoda.ENGINE_ZONES,
    store_zones=kursuskoda.STORE_ZONES,
    weights_by_account={
        account: LARGE_WEIGHT if weight > 3.0 else SMALL_WEIGHT
        for account, weight in kursuskoda.FAIR_SHARE_WEIGHTS_BY_ACCOUNT.items()
    },
    classes=(
        RequestClass("summary", 0.55, True, "handbooks", (120, 600), 32),
        RequestClass("eligibility", 0.2, True, "handbooks", (80, 300), 8),
        RequestClass("classification", 0.25, True, "instructions", (200, 900), 4),
    ),
    document_groups_by_name={
        "handbooks": DocumentGroup(160, (16, 48)),
        "instructions": DocumentGroup(10, (3, 5)),
    },
    engine_cache_blocks=256,
    store_memory_blocks=1_000,
    store_disk_blocks=9_000,
)
KITAMI = Scenario(
    name="kitami",
    engine_zones=("kitami-a", "kitami-b", "sapporo-a", "sapporo-b", "kitami-a"),
    store_zones=("kitami-a", "sapporo-a"),
    weights_by_account={
        f"label-{n}": LARGE_WEIGHT if n in (1, 2) else SMALL_WEIGHT
        for n in range(1, 11)
    },
    classes=(
        RequestClass("session_review", 0.4, False, "albums", (200, 900), 48),
        RequestClass("loudness", 0.35, True, "meters", (100, 700), 6),
        RequestClass("format_gate", 0.25, True, "gates", (100, 400), 1),
    ),
    document_groups_by_name={
        "albums": DocumentGroup(100, (40, 96)),
        "meters": DocumentGroup(40, (2, 5)),
        "gates": DocumentGroup(10, (1, 2)),
    },
    engine_cache_blocks=340,
    store_memory_blocks=1_400,
    store_disk_blocks=12_000,
)
SCENARIOS = (KURSUSKODA, KITAMI)


@dataclass(frozen=True)
class Arrival:
    """Request of a caller, ``offset_s`` seconds after the start of the run."""

    offset_s: float
    number: int
    account: str
    request_class: RequestClass
    prompt: str
    daemon_index: int


class Workload:
    """The documents of a scenario and the arrivals drawn from them.

    The same seed gives the same documents and arrivals.
    """

    def __init__(self, scenario: Scenario, seed: int, daemon_count: int) -> None:
        self.scenario = scenario
        self._seed = seed
        self._daemon_count = daemon_count
        # Texts by document group and account.
        self.documents: dict[tuple[str, str], list[str]] = {}
        rng = random.Random(f"{seed}/{scenario.name}/documents")
        accounts = list(scenario.weights_by_account)
        for group_name, group in scenario.document_groups_by_name.items():
            for account in accounts:
                count = max(1, round(group.count * scenario.account_share(account)))
                self.documents[group_name, account] = [
                    _random_text(rng, _random_length(rng, group.block_range))
                    for _ in range(count)
                ]

    def warmup_requests(self) -> list[Arrival]:
        """Return one request for each document, in random order, all at offset 0."""
        rng = random.Random(f"{self._seed}/{self.scenario.name}/first")
        class_by_group = {c.document_group: c for c in self.scenario.classes}
        requests = [
            (account, class_by_group[group], document)
            for (group, account), documents in self.documents.items()
            for document in documents
        ]
        rng.shuffle(requests)
        return [
            Arrival(
                0.0,
                n,
                account,
                request_class,
                document,
                rng.randrange(self._daemon_count),
            )
            for n, (account, request_class, document) in enumerate(requests)
        ]

    def uncached_capacity_per_s(self) -> float:
        """Return the requests/s that the engines can prefill without KV reuse."""
        mean_prompt_tokens = 0.0
        for request_class in self.scenario.classes:
            document_tokens = [
                token_count(document)
                for (group, _), documents in self.documents.items()
                if group == request_class.document_group
                for document in documents
            ]
            # Middle of the range of lengths, at 4 bytes per token.
            question_tokens = sum(request_class.question_bytes) / 2 / 4
            mean_prompt_tokens += request_class.share * (
                sum(document_tokens) / len(document_tokens) + question_tokens
            )
        speeds = kursuskoda.Speeds()
        return (
            len(self.scenario.engine_zones)
            * speeds.prefill_tokens_per_s
            / mean_prompt_tokens
        )

    def arrivals(
        self, rates_by_account: dict[str, float], duration_s: float
    ) -> list[Arrival]:
        """Draw Poisson arrivals of each account at its rate in requests/s.

        Each account has its own random generator, so that its arrivals do not depend
        on the rates of the other accounts.
        """
        arrivals: list[Arrival] = []
        for account, rate in rates_by_account.items():
            rng = random.Random(f"{self._seed}/{self.scenario.name}/{account}")
            offset_s = rng.expovariate(rate) if rate > 0 else duration_s
            while offset_s < duration_s:
                arrivals.append(self._draw_arrival(rng, account, offset_s))
                offset_s += rng.expovariate(rate)
        arrivals.sort(key=lambda a: (a.offset_s, a.account))
        return [replace(arrival, number=n) for n, arrival in enumerate(arrivals)]

    def _draw_arrival(
        self, rng: random.Random, account: str, offset_s: float
    ) -> Arrival:
        classes = self.scenario.classes
        request_class = rng.choices(classes, [c.share for c in classes])[0]
        documents = self.documents[request_class.document_group, account]
        weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, len(documents) + 1)]
        document = rng.choices(documents, weights)[0]
        question = _random_text(rng, rng.randint(*request_class.question_bytes))
        daemon = rng.randrange(self._daemon_count)
        return Arrival(offset_s, 0, account, request_class, document + question, daemon)


def _random_length(rng: random.Random, block_range: tuple[int, int]) -> int:
    return rng.randint(block_range[0] * BLOCK_BYTES, block_range[1] * BLOCK_BYTES)


def _random_text(rng: random.Random, length: int) -> str:
    return rng.randbytes(-(-length // 2)).hex()[:length]


def split_by_weight(scenario: Scenario, total: float) -> Iterator[tuple[str, float]]:
    """Yield each account and its part of ``total``, in proportion to its weight."""
    for account in scenario.weights_by_account:
        yield account, total * scenario.account_share(account)


__all__ = [
    "KITAMI",
    "KURSUSKODA",
    "SCENARIOS",
    "Arrival",
    "DocumentGroup",
    "RequestClass",
    "Scenario",
    "Workload",
    "split_by_weight",
]
