"""Identifier types.

Identifiers are strings on the wire (a revision and a fencing token are integers). The
distinct types let the type checker reject a mix-up.
"""

from typing import NewType

AccountId = NewType("AccountId", str)
ModelId = NewType("ModelId", str)
WeightVersion = NewType("WeightVersion", str)
AdapterId = NewType("AdapterId", str)
PromptId = NewType("PromptId", str)
BackendServerId = NewType("BackendServerId", str)
StoreId = NewType("StoreId", str)
ServiceId = NewType("ServiceId", str)
DaemonId = NewType("DaemonId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
ChangeId = NewType("ChangeId", str)
Fingerprint = NewType("Fingerprint", str)
SoftwareVersion = NewType("SoftwareVersion", str)
BlockKey = NewType("BlockKey", str)
Revision = NewType("Revision", int)
FencingToken = NewType("FencingToken", int)

__all__ = [
    "AccountId",
    "AdapterId",
    "BackendServerId",
    "BlockKey",
    "ChangeId",
    "DaemonId",
    "FencingToken",
    "Fingerprint",
    "IdempotencyKey",
    "ModelId",
    "PromptId",
    "RegionId",
    "RequestId",
    "Revision",
    "ServiceId",
    "SoftwareVersion",
    "StoreId",
    "WeightVersion",
    "ZoneId",
]
