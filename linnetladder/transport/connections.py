"""Connection pools for endpoints, which can be replaced as a whole.

An established connection can go silent permanently while new connections to the same
endpoint work. When one is suspected of that, the endpoint's whole pool is retired:
in-flight requests may finish on its connections, but no new request uses them.
"""

import aiohttp

from linnetladder.state import Endpoint
from linnetladder.transport.responses import StrictConnector

__all__ = ["ConnectionPool", "ConnectionPools"]

KEEP_ALIVE_SECONDS = 30.0


class ConnectionPool:
    """The reusable connections to one incarnation of an endpoint.

    ``active_requests`` counts the requests that use one of them.
    """

    def __init__(self, *, incarnation: str, connect_seconds: float):
        self.incarnation = incarnation
        self.active_requests = 0
        self.retired = False
        connector = StrictConnector(
            limit=0, keepalive_timeout=KEEP_ALIVE_SECONDS, use_dns_cache=False
        )
        self.session = _create_session(connector, connect_seconds)


class ConnectionPools:
    """The connection pool of each endpoint.

    ``fresh_session`` opens a new connection for every request, to any endpoint.
    """

    def __init__(self, *, connect_seconds: float):
        self.connect_seconds = connect_seconds
        self.pools: dict[str, ConnectionPool] = {}
        self.retired: set[ConnectionPool] = set()
        connector = StrictConnector(limit=0, force_close=True, use_dns_cache=False)
        self.fresh_session = _create_session(connector, connect_seconds)

    def get(self, endpoint: Endpoint) -> ConnectionPool:
        """Return the pool of an endpoint's current incarnation.

        The pool of an earlier incarnation is retired.
        """
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

    def retire_connections(self, endpoint: Endpoint) -> None:
        """Retire an endpoint's pool: no new request uses its connections."""
        current = self.pools.pop(endpoint.name, None)
        if current is not None:
            self._retire(current)

    async def close(self) -> None:
        """Close all connections, in-flight requests included."""
        await self.fresh_session.close()
        for pool in (*self.pools.values(), *self.retired):
            await pool.session.close()

    async def close_retired(self) -> None:
        """Close the retired pools that have no active requests."""
        for pool in tuple(self.retired):
            if pool.active_requests == 0:
                await pool.session.close()
                self.retired.discard(pool)

    def _retire(self, pool: ConnectionPool) -> None:
        pool.retired = True
        self.retired.add(pool)


def _create_session(
    connector: StrictConnector, connect_seconds: float
) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
    )
