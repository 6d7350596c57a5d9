"""Transport of forwarding: callers' server, calls to endpoints, peers' datagrams."""

from linnetladder.forwarding.transport.caller_server import ForwardingServer
from linnetladder.forwarding.transport.endpoint_calls import HttpEndpointCalls
from linnetladder.forwarding.transport.peer_socket import PeerSocket
from linnetladder.forwarding.transport.ready_server import ReadyServer

__all__ = ["ForwardingServer", "HttpEndpointCalls", "NewsSocket", "ReadyServer"]
