"""Which versions of a service a request may run on."""

import dataclasses

from linnetladder.forwarding.coordination.directory import version_of
from linnetladder.state import Endpoint

__all__ = ["VersionRule"]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRule:
    """Restriction of one request to the target version, or to the other versions.

    At most one of ``only_target`` and ``avoid_target`` is true; both are false if there
    is no roll-out order for the service.
    """

    target: str = ""
    only_target: bool = False
    avoid_target: bool = False

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may run the request."""
        if not self.target:
            return True
        is_target = version_of(endpoint) == self.target
        if self.only_target:
            return is_target
        return not (self.avoid_target and is_target)
