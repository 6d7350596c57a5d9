"""Bounded log of clients that were refused or whose connections were closed."""

import collections

from linnetladder.telemetry.logs import log_change
from linnetladder.telemetry.metrics import Metrics

__all__ = ["RefusalLog"]

# Clients that are counted apart between two lines; the others share one count.
MAXIMUM_CLIENTS = 100
CLIENTS_PER_LINE = 5
OTHER_CLIENTS = "others"


class RefusalLog:
    """Counts refused clients, and logs a line for each reason at intervals.

    ``port`` names the port that the clients are connected to.
    """

    def __init__(self, *, port: str, metrics: Metrics):
        self.port = port
        self.metrics = metrics
        self.clients: dict[str, collections.Counter[str]] = {}

    def record(self, reason: str, client: str) -> None:
        """Count one client that was refused for a reason of a closed list."""
        self.metrics.count("clients_refused", label=f"{self.port}_{reason}")
        clients = self.clients.setdefault(reason, collections.Counter())
        if client not in clients and len(clients) >= MAXIMUM_CLIENTS:
            client = OTHER_CLIENTS
        clients[client] += 1

    def flush(self) -> None:
        """Log who was refused for what since the last call."""
        for reason, clients in self.clients.items():
            log_change(
                "clients refused",
                port=self.port,
                reason=reason,
                count=clients.total(),
                clients=dict(clients.most_common(CLIENTS_PER_LINE)),
            )
        self.clients.clear()
