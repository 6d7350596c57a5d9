"""The platform's list of live and leaving instances."""

import pydantic

from linnetladder.state import EndpointReport, VersionRef

__all__ = ["InstanceEntry", "InstanceListBody"]


class InstanceEntry(pydantic.BaseModel):
    """One instance as the platform lists it."""

    name: str
    incarnation: str
    address: str
    failure_domain: str
    service: str
    versions: tuple[str, ...] | None = None
    capacity: int | None = pydantic.Field(None, ge=1)
    state: str = pydantic.Field("live", pattern="^(live|leaving)$")

    def report(self) -> EndpointReport:
        """Return the entry as the endpoint table takes it in."""
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
    """The whole list."""

    instances: list[InstanceEntry]
