"""What a forwarding daemon is told of itself, its neighbours and its bounds.

Whoever reads the settings of a platform fills in these types; all times are seconds.
"""

import dataclasses

__all__ = ["Bounds", "FleetSettings", "SettingsHolder"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """The limits within which an operator wants things done.

    ``revoke`` bounds how long a withdrawn credential may be accepted, by every
    instance where ``strict_revocation`` is set. ``retry_ratio`` of the requests of a
    window of ``retry_window`` plus ``retry_slack`` may be sent again, summed over all
    instances. ``exposure_share`` of a service's requests plus ``exposure_slack`` may
    reach a version that turns out bad, and none ``rollback`` after it was found.
    """

    contact: float = 3.0
    configuration: float = 2.0
    drain: float = 2.0
    grace: float = 8.0
    strict_revocation: bool = True
    revoke: float = 5.0
    retry_ratio: float = 0.9
    retry_window: float = 10.0
    retry_slack: float = 52.0
    exposure_share: float = 0.15
    exposure_slack: float = 30.0
    rollback: float = 5.0
    session: float = 5.0
    cache_reuse: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """One instance's addresses and limits.

    ``peer_ports`` is the first and the last port that daemons may use among
    themselves. ``store_address`` is ``IP:port`` of the platform's store.
    """

    instance: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    address: str
    caller_port: int
    ready_port: int
    peer_ports: tuple[int, int]
    store_address: str
    bounds: Bounds = Bounds()


class SettingsHolder:
    """The settings in force, which a reload replaces as a whole."""

    def __init__(self, *, settings: FleetSettings):
        self.current = settings

    @property
    def bounds(self) -> Bounds:
        """The bounds in force."""
        return self.current.bounds
