"""Regions that a request may be sent to: the homes of its route and client account.

A request with homes reaches endpoints of these regions only. Its body is passed on to
no daemon of another region, except those of this daemon's own region.
"""

from linnetladder.forwarding.coordination.sources import DaemonAddress
from linnetladder.forwarding.settings import SettingsHolder
from linnetladder.forwarding.state import ClientAccount, Route
from linnetladder.state import Endpoint

__all__ = ["Homes", "homes_of"]


def homes_of(route: Route, account: ClientAccount | None) -> frozenset[str] | None:
    """Return the regions that a request may use, ``None`` if it may use any.

    Where both the route and the account name regions, both are binding.
    """
    homes = route.allowed_regions or None
    if account is None or not account.allowed_regions:
        return homes
    if homes is None:
        return account.allowed_regions
    return homes & account.allowed_regions


class Homes:
    """Compares the regions of endpoints and peers with the homes of requests.

    The settings give the region of each failure domain. A failure domain without a
    region is in none of the homes.
    """

    def __init__(self, *, settings: SettingsHolder):
        self.settings = settings

    def allow_endpoint(self, homes: frozenset[str] | None, endpoint: Endpoint) -> bool:
        """Return whether a request with these homes may be sent to an endpoint."""
        return homes is None or self._region(endpoint.failure_domain) in homes

    def allow_peer(self, homes: frozenset[str] | None, peer: DaemonAddress) -> bool:
        """Return whether a request with these homes may be passed on by a peer."""
        if homes is None:
            return True
        own_domain = self.settings.current.failure_domain
        if peer.failure_domain == own_domain:
            return True
        region = self._region(peer.failure_domain)
        if region is None:
            return False
        return region in homes or region == self._region(own_domain)

    def _region(self, failure_domain: str) -> str | None:
        return self.settings.current.regions.get(failure_domain)
