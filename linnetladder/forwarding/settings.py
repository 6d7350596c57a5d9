"""Settings of a forwarding daemon: identity, addresses and limits.

A platform's adapter reads the platform's settings into these types. All times are in
seconds.
"""

import dataclasses

__all__ = ["Bounds", "FleetSettings", "SettingsHolder"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits on delays, retries and roll-outs that the daemons have to observe.

    A changed configuration has to be read within ``configuration`` seconds, and a
    leaving endpoint's entry within ``drain`` seconds. A daemon has ``grace`` seconds to
    shut down. A revoked credential is accepted for at most ``revoke`` seconds, on every
    instance if ``strict_revocation`` is set. All instances together may retry
    ``retry_slack`` requests plus ``retry_ratio`` of the requests within
    ``retry_window`` seconds. A bad version may receive ``exposure_slack`` requests plus
    ``exposure_share`` of its service's requests, and none later than ``rollback``
    seconds after it was detected. A failure domain gets no requests later than
    ``evacuate`` seconds after the store accepted the key that evacuates it. A cold
    endpoint may receive ``cold_slack`` requests plus ``cold_overage`` times its
    service's rate in any second.
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
    evacuate: float = 5.0
    cold_overage: float = 1.5
    cold_slack: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """The addresses and limits of one instance.

    ``peer_ports`` holds the first and the last port that daemons may use for messages
    to each other. ``store_address`` is the ``IP:port`` of the platform's store.
    ``regions`` gives the regions of failure domains. The process may use
    ``memory_megabytes``, and open ``descriptors`` of files and sockets. ``problems``
    name the figures that could not be read and have their defaults.
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
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    memory_megabytes: int = 300
    descriptors: int = 4096
    problems: tuple[str, ...] = ()


class SettingsHolder:
    """Holds the settings in force; a reload replaces ``current`` as a whole."""

    def __init__(self, *, settings: FleetSettings):
        self.current = settings

    @property
    def bounds(self) -> Bounds:
        """The bounds in force."""
        return self.current.bounds
