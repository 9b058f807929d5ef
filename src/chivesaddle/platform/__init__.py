"""Adapter to the platform: names, formats and calls, and no decisions.

Everything that the platform, its callers and its servers send is decoded here once,
into the types of the other slices.
"""

from chivesaddle.platform.calls import ServerApi, ServerCallFailed
from chivesaddle.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    SERVERS_KIND,
    VERSIONS_KIND,
    decode_configuration,
    decode_server,
    decode_weight_version,
)
from chivesaddle.platform.entry import READY_PATH, RESOLVE_PATH, address_answer
from chivesaddle.platform.headers import (
    decode_request,
    decode_response,
    server_headers,
)
from chivesaddle.platform.store import StoreClient

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "READY_PATH",
    "RESOLVE_PATH",
    "SERVERS_KIND",
    "VERSIONS_KIND",
    "ServerApi",
    "ServerCallFailed",
    "StoreClient",
    "address_answer",
    "decode_configuration",
    "decode_request",
    "decode_response",
    "decode_server",
    "decode_weight_version",
    "server_headers",
]
