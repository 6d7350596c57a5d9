"""Connections to endpoints, in sets that can be given up at once.

Connections can go silent for good while new ones work. When one is suspected, the
whole set to that endpoint is retired: requests under way on it may still end, but no
new request uses it.
"""

import aiohttp

from linnetladder.state import Endpoint

__all__ = ["ConnectionSet", "Connections"]

KEEP_ALIVE_SECONDS = 30.0


class ConnectionSet:
    """The reusable connections to one incarnation of an endpoint."""

    def __init__(self, *, incarnation: str, connect_seconds: float):
        self.incarnation = incarnation
        self.in_use = 0
        self.retired = False
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEP_ALIVE_SECONDS, use_dns_cache=False
        )
        self.session = _session(connector, connect_seconds)


class Connections:
    """The connection set of each endpoint, and fresh connections to any."""

    def __init__(self, *, connect_seconds: float):
        self.connect_seconds = connect_seconds
        self.sets: dict[str, ConnectionSet] = {}
        self.retired: set[ConnectionSet] = set()
        connector = aiohttp.TCPConnector(limit=0, force_close=True, use_dns_cache=False)
        self.fresh = _session(connector, connect_seconds)

    def get(self, endpoint: Endpoint) -> ConnectionSet:
        """Return the set to use for an endpoint's present incarnation."""
        known = self.sets.get(endpoint.name)
        if known is not None and known.incarnation == endpoint.incarnation:
            return known
        if known is not None:
            self._retire(known)
        created = ConnectionSet(
            incarnation=endpoint.incarnation, connect_seconds=self.connect_seconds
        )
        self.sets[endpoint.name] = created
        return created

    def suspect(self, endpoint: Endpoint) -> None:
        """Use none of an endpoint's present connections again."""
        known = self.sets.pop(endpoint.name, None)
        if known is not None:
            self._retire(known)

    async def close(self) -> None:
        """Close everything."""
        await self.fresh.close()
        for connections in (*self.sets.values(), *self.retired):
            await connections.session.close()

    async def sweep(self) -> None:
        """Close retired sets that are no longer used."""
        for connections in tuple(self.retired):
            if connections.in_use == 0:
                await connections.session.close()
                self.retired.discard(connections)

    def _retire(self, connections: ConnectionSet) -> None:
        connections.retired = True
        self.retired.add(connections)


def _session(
    connector: aiohttp.TCPConnector, connect_seconds: float
) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
    )
