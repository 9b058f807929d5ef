"""Adapter to the platform's names, formats and calls; contains no policy.

Data from the platform, callers and backend servers is decoded here, once, into the
types of the other packages.
"""

from chivesaddle.platform.backend_client import BackendClient, ServerCallFailed
from chivesaddle.platform.contracts import Features
from chivesaddle.platform.documents import (
    CONFIG_KIND,
    CONFIG_NAME,
    EVACUATIONS_KIND,
    SERVERS_KIND,
    VERSIONS_KIND,
    configuration_version,
    decode_configuration,
    decode_evacuation,
    decode_server,
    decode_weight_version,
    encode_evacuation,
    weight_version_number,
)
from chivesaddle.platform.entry import (
    READINESS_PATH,
    RESOLVE_PATH,
    encode_addresses,
)
from chivesaddle.platform.headers import (
    decode_request,
    decode_response,
    encode_peer_headers,
    encode_server_headers,
)
from chivesaddle.platform.store import StoreClient

__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "EVACUATIONS_KIND",
    "READINESS_PATH",
    "RESOLVE_PATH",
    "SERVERS_KIND",
    "VERSIONS_KIND",
    "BackendClient",
    "Features",
    "ServerCallFailed",
    "StoreClient",
    "configuration_version",
    "decode_configuration",
    "decode_evacuation",
    "decode_request",
    "decode_response",
    "decode_server",
    "decode_weight_version",
    "encode_addresses",
    "encode_evacuation",
    "encode_peer_headers",
    "encode_server_headers",
    "weight_version_number",
]
