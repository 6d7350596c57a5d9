"""Transport: servers and clients for HTTP and gRPC, and the connection pools."""

from linnetladder.lazy_exports import lazy_exports

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

__getattr__, __dir__ = lazy_exports(
    __name__,
    {
        "CallerServer": "caller_server",
        "ConnectionPools": "connections",
        "HttpEndpointClient": "endpoint_client",
        "HttpInstanceList": "instance_list",
        "EtcdKeyValue": "key_value",
        "OperationsServer": "operations_server",
        "StatusSource": "operations_server",
        "Certificates": "peer_links",
        "PeerTransport": "peer_links",
        "HttpRatingService": "rating_service",
    },
)
