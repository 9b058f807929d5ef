"""Index of cached prompt parts, and planning of their transfers for a request."""

from chivesaddle.cachemap.cleaning import StoreCleaner
from chivesaddle.cachemap.feeds import (
    CacheEvent,
    CacheEventFeeds,
    CacheEvents,
    CacheReader,
)
from chivesaddle.cachemap.index import CacheIndex
from chivesaddle.cachemap.transfers import PromptPlan, TransferPlanner

__all__ = [
    "CacheEvent",
    "CacheEventFeeds",
    "CacheEvents",
    "CacheIndex",
    "CacheReader",
    "PromptPlan",
    "StoreCleaner",
    "TransferPlanner",
]
