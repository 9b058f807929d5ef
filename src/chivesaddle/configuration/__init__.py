"""Configuration: intents, plans, the active state, its freshness, stored prompts."""

from chivesaddle.configuration.active import ActiveConfig
from chivesaddle.configuration.errors import (
    ChangesCompacted,
    ConfirmOutcomeUnknown,
    NoMajorityContact,
    PlanNotFound,
    PlanOutdated,
    PromptNotFound,
    RevisionGap,
)
from chivesaddle.configuration.freshness import MAX_READING_AGE_S, Freshness
from chivesaddle.configuration.operations import Intent, parse_intent
from chivesaddle.configuration.plan import Change, Plan, redact_key_digests
from chivesaddle.configuration.prompts import PromptStore, StoredPrompt
from chivesaddle.configuration.service import ConfigService, Confirmation

__all__ = [
    "MAX_READING_AGE_S",
    "ActiveConfig",
    "Change",
    "ChangesCompacted",
    "ConfigService",
    "ConfirmOutcomeUnknown",
    "Confirmation",
    "Freshness",
    "Intent",
    "NoMajorityContact",
    "Plan",
    "PlanNotFound",
    "PlanOutdated",
    "PromptNotFound",
    "PromptStore",
    "RevisionGap",
    "StoredPrompt",
    "parse_intent",
    "redact_key_digests",
]
