"""Transport: servers and clients for HTTP and gRPC, and the connection pools."""

from linnetladder.transport.caller_server import CallerServer
from linnetladder.transport.connections import ConnectionPools
from linnetladder.transport.endpoint_client import HttpEndpointClient
from linnetladder.transport.instance_list import HttpInstanceList
from linnetladder.transport.key_value import EtcdKeyValue
from linnetladder.transport.operations_server import OperationsServer, StatusSource
from linnetladder.transport.peer_links import Certificates, PeerTransport
from linnetladder.transport.rating_service import HttpRatingService

__all__ = [
    "CallerServer",
    "Certificates",
    "ConnectionPools",
    "EtcdKeyValue",
    "HttpEndpointClient",
    "HttpInstanceList",
    "HttpRatingService",
    "OperationsServer",
    "PeerTransport",
    "StatusSource",
]
