"""The body of the platform's list of live and leaving instances."""

import pydantic

from linnetladder.state import EndpointReport, VersionRef

__all__ = ["InstanceEntry", "InstanceListBody"]


class InstanceEntry(pydantic.BaseModel):
    """One instance of the platform's list."""

    name: str
    incarnation: str
    address: str
    failure_domain: str
    service: str
    versions: tuple[str, ...] | None = None
    capacity: int | None = pydantic.Field(None, ge=1)
    state: str = pydantic.Field("live", pattern="^(live|leaving)$")

    def report(self) -> EndpointReport:
        """Convert the entry to the data class that the endpoint table merges."""
        versions = None
        if self.versions is not None:
            versions = frozenset(VersionRef.parse(text) for text in self.versions)
        return EndpointReport(
            name=self.name,
            incarnation=self.incarnation,
            address=self.address,
            failure_domain=self.failure_domain,
            service=self.service,
            versions=versions,
            capacity=self.capacity,
            leaving=self.state == "leaving",
        )


class InstanceListBody(pydantic.BaseModel):
    """The complete instance list."""

    instances: list[InstanceEntry]
