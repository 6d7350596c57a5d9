"""Connections to endpoints, in sets that can be given up at once.

Connections can go silent for good while new ones work. When one is suspected, the
whole set to that endpoint is retired: requests under way on it may still end, but no
new request uses it.
"""

import aiohttp

from linnetladder.state import Endpoint

__all__ = ["ConnectionSet", "Connections"]

KEEP_ALIVE_SECONDS = 30.0


class ConnectionPool:
    """The reusable connections to one incarnation of an endpoint."""

    def __init__(self, *, incarnation: str, connect_seconds: float):
        self.incarnation = incarnation
        self.active_requests = 0
        self.retired = False
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEP_ALIVE_SECONDS, use_dns_cache=False
        )
        self.session = _create_session(connector, connect_seconds)


class ConnectionPools:
    """The connection set of each endpoint, and fresh connections to any."""

    def __init__(self, *, connect_seconds: float):
        self.connect_seconds = connect_seconds
        self.pools: dict[str, ConnectionPool] = {}
        self.retired: set[ConnectionPool] = set()
        connector = aiohttp.TCPConnector(limit=0, force_close=True, use_dns_cache=False)
        self.fresh_session = _create_session(connector, connect_seconds)

    def get(self, endpoint: Endpoint) -> ConnectionPool:
        """Return the set to use for an endpoint's present incarnation."""
        current = self.pools.get(endpoint.name)
        if current is not None and current.incarnation == endpoint.incarnation:
            return current
        if current is not None:
            self._retire(current)
        created = ConnectionPool(
            incarnation=endpoint.incarnation, connect_seconds=self.connect_seconds
        )
        self.pools[endpoint.name] = created
        return created

    def suspect(self, endpoint: Endpoint) -> None:
        """Use none of an endpoint's present connections again."""
        current = self.pools.pop(endpoint.name, None)
        if current is not None:
            self._retire(current)

    async def close(self) -> None:
        """Close everything."""
        await self.fresh_session.close()
        for pool in (*self.pools.values(), *self.retired):
            await pool.session.close()

    async def close_retired(self) -> None:
        """Close retired sets that are no longer used."""
        for pool in tuple(self.retired):
            if pool.active_requests == 0:
                await pool.session.close()
                self.retired.discard(pool)

    def _retire(self, pool: ConnectionPool) -> None:
        pool.retired = True
        self.retired.add(pool)


def _create_session(
    connector: aiohttp.TCPConnector, connect_seconds: float
) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
    )
