"""Message types and gRPC service for calls between daemons.

``peer_pb2.py``, ``peer_pb2.pyi`` and ``peer_grpc.py`` are generated; regenerate them
after a change of ``peer.proto`` with::

    cd src && python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. \
        --grpclib_python_out=. chivesaddle/peers/proto/peer.proto
"""
