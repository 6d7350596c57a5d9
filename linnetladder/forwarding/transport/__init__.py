"""Sockets of the forwarding daemon: callers, endpoints, peers, operators."""

from linnetladder.forwarding.transport.caller_server import ForwardingServer
from linnetladder.forwarding.transport.endpoint_calls import HttpEndpointCalls
from linnetladder.forwarding.transport.peer_socket import PeerSocket
from linnetladder.forwarding.transport.ready_server import ReadyServer
from linnetladder.forwarding.transport.relay_server import RelayServer

__all__ = [
    "ForwardingServer",
    "HttpEndpointCalls",
    "PeerSocket",
    "ReadyServer",
    "RelayServer",
]
