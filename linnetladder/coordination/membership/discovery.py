"""Discovers endpoints from the platform's list and from their own load reports.

Both sources lag. The list contains the existing endpoints. An endpoint's report
contains its load, the versions that it has loaded and whether it is leaving. A daemon
reads a limited number of reports per second, regardless of the number of endpoints.
It also learns from peers which endpoints are leaving.
"""

import abc
import asyncio

from returns.result import Failure, Result, Success

from linnetladder.coordination.admission.slots import Admission
from linnetladder.coordination.attempts.endpoint_client import EndpointFault
from linnetladder.coordination.platform import InstanceList
from linnetladder.state import Endpoint, EndpointReport, EndpointTable
from linnetladder.telemetry import log_change

__all__ = ["Discovery", "LoadSource"]

MAXIMUM_CONCURRENT_POLLS = 32
REPORTS_PER_SECOND = 6
LIST_SECONDS_PER_ENDPOINT = 0.05


class LoadSource(abc.ABC):
    """A source of endpoints' load reports."""

    @abc.abstractmethod
    async def report(self, endpoint: Endpoint) -> Result[EndpointReport, EndpointFault]:
        """Fetch the endpoint's load report."""


class Discovery:
    """Keep the endpoint table up to date with the list and the load reports."""

    def __init__(
        self,
        *,
        table: EndpointTable,
        instances: InstanceList,
        loads: LoadSource,
        admission: Admission,
        list_interval_seconds: float,
        load_interval_seconds: float,
    ):
        self.table = table
        self.instances = instances
        self.loads = loads
        self.admission = admission
        self.list_interval_seconds = list_interval_seconds
        self.load_interval_seconds = load_interval_seconds

    async def run(self) -> None:
        """Poll the list and the endpoints until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_list())
            group.create_task(self._poll_loads())

    async def read_list(self) -> bool:
        """Merge the platform's list into the table; return whether it could be read."""
        listed = await self.instances.endpoints()
        if isinstance(listed, Failure):
            return False
        reports = listed.unwrap()
        previous_names = set(self.table.endpoints)
        for report in reports:
            self.table.merge(report)
        names = {report.name for report in reports}
        self.table.update_listed(names)
        if names != previous_names:
            log_change("endpoint list changed", count=len(names))
        self.admission.dispatch()
        return True

    async def read_loads(self) -> None:
        """Merge the load report of every listed endpoint into the table."""
        endpoints = [e for e in self.table.endpoints.values() if e.listed]
        for start in range(0, len(endpoints), MAXIMUM_CONCURRENT_POLLS):
            batch = endpoints[start : start + MAXIMUM_CONCURRENT_POLLS]
            await asyncio.gather(*(self._read_load(e) for e in batch))
        self.admission.dispatch()

    async def _read_load(self, endpoint: Endpoint) -> None:
        reported = await self.loads.report(endpoint)
        if isinstance(reported, Success):
            self.table.merge(reported.unwrap())

    async def _poll_list(self) -> None:
        while True:
            await self.read_list()
            interval_seconds = len(self.table.endpoints) * LIST_SECONDS_PER_ENDPOINT
            await asyncio.sleep(max(self.list_interval_seconds, interval_seconds))

    async def _poll_loads(self) -> None:
        while True:
            await self.read_loads()
            listed = len(self.table.endpoints)
            await asyncio.sleep(
                max(self.load_interval_seconds, listed / REPORTS_PER_SECOND)
            )
