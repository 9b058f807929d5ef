"""Index of cached prompt parts, and planning of their transfers for a request."""

from chivesaddle.cachemap.cleaning import Cleaner
from chivesaddle.cachemap.feeds import CacheEvent, CacheEvents, CacheReader, Feeds
from chivesaddle.cachemap.index import CacheIndex
from chivesaddle.cachemap.transfers import PromptPlan, Transfers

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "CacheIndex",
    "CacheReader",
    "Cleaner",
    "Feeds",
    "PromptPlan",
    "Transfers",
]
