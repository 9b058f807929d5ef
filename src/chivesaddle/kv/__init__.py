"""Storage of KV blocks: keys, stores, link scheduling, replicas and repair."""

from chivesaddle.kv.identity import block_keys, scope
from chivesaddle.kv.link import LinkBusy, LinkId, LinkScheduler
from chivesaddle.kv.manifests import BlockRecord, BlocksMismatch, Manifest
from chivesaddle.kv.pacing import DeadlinePace, FixedPace
from chivesaddle.kv.repair import Repair
from chivesaddle.kv.replicas import home_stores
from chivesaddle.kv.service import (
    EngineKvClient,
    KvService,
    LoadResult,
    SaveResult,
    StoredPrefix,
)
from chivesaddle.kv.store import (
    HttpStoreClient,
    ManifestRejected,
    NotInStore,
    StoreClient,
    StoreFull,
    StoreUnavailable,
)

__all__ = [
    "BlockRecord",
    "BlocksMismatch",
    "DeadlinePace",
    "EngineKvClient",
    "FixedPace",
    "HttpStoreClient",
    "KvService",
    "LinkBusy",
    "LinkId",
    "LinkScheduler",
    "LoadResult",
    "Manifest",
    "ManifestRejected",
    "NotInStore",
    "Repair",
    "SaveResult",
    "StoreClient",
    "StoreFull",
    "StoreUnavailable",
    "StoredPrefix",
    "block_keys",
    "home_stores",
    "scope",
]
