"""Configurations of any size come into force in time over the links of daemons."""

import asyncio
import contextlib
import dataclasses

import orjson
import pytest
from returns.result import Failure

from linnetladder.forwarding.coordination.bills import MAXIMUM_BLOCK_BILLS
from linnetladder.forwarding.coordination.shared_snapshots import content_digest
from linnetladder.forwarding.coordination.store_era import StoreEra
from linnetladder.platform import PlatformSource, PlatformStore
from linnetladder.state import BootClock
from linnetladder.telemetry import Metrics
from standins.fleet_store import FleetStore
from standins.slow_link import SlowLink
from tests.forwarding.test_platform import CONFIGURATION, WORKER
from tests.support.forwarding import LocalDaemon

# The slowest link and the bound of configurations of the grown sites.
LINK_BITS_PER_SECOND = 5_000_000
CONFIGURATION_SECONDS = 3.0
# The bound within which a daemon has to know of an endpoint that leaves.
DRAIN_SECONDS = 2.0
# The largest value that the store takes holds about this many routes.
MOST_ROUTES = 4_800
POLL_SECONDS = 0.02


def configuration(version, routes):
    """Return a configuration with a number of routes, as an operator writes it."""
    first = CONFIGURATION["Routes"][0]
    added = [
        {
            **{key: value for key, value in first.items() if key != "Split"},
            "Name": f"r-{number:07x}",
            "PathPrefix": f"/added{number}/",
            "Sticky": False,
        }
        for number in range(routes)
    ]
    return {
        **CONFIGURATION,
        "Version": version,
        "Routes": [*CONFIGURATION["Routes"], *added],
    }


class SlowSite:
    """A daemon's reads of the store stand-in over a slow link, in real time."""

    def __init__(self, *, bits_per_second=LINK_BITS_PER_SECOND):
        self.bits_per_second = bits_per_second
        self.server = FleetStore()
        self.metrics = Metrics()
        self.tasks = []

    async def __aenter__(self):
        port = int((await self.server.start()).rpartition(":")[2])
        self.link = SlowLink(port=port, bits_per_second=self.bits_per_second)
        self.store = PlatformStore(
            address=await self.link.start(),
            era=StoreEra(metrics=self.metrics),
            clock=BootClock(),
            metrics=self.metrics,
        )
        self.store.late_after = CONFIGURATION_SECONDS
        self.source = PlatformSource(store=self.store, metrics=self.metrics)
        self.daemon = LocalDaemon(source=self.source, clock=BootClock())
        settings = self.daemon.holder.current
        self.daemon.holder.current = dataclasses.replace(
            settings,
            bounds=dataclasses.replace(
                settings.bounds, configuration=CONFIGURATION_SECONDS
            ),
        )
        return self

    async def __aexit__(self, *exception):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.close()
        self.link.stop()
        await self.server.stop()

    async def start(self, routes):
        """Write a configuration and let the daemon poll, until it has it in force."""
        self.server.put("servers/w1", WORKER)
        self.write(1, routes)
        for run in (
            self.daemon.poller.run,
            self.daemon.poller.run_configuration_watch,
        ):
            self.tasks.append(asyncio.ensure_future(run()))
        await self.in_force(1)

    def write(self, version, routes):
        self.server.put("op/config", configuration(version, routes))

    async def in_force(self, version, seconds=20.0):
        """Return the seconds until a version is in force."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.timeout(seconds):
            while (table := self.daemon.in_force.table) is None or (
                table.version < version
            ):
                await asyncio.sleep(POLL_SECONDS)
        return loop.time() - began


def run(scenario, **options):
    async def body():
        async with SlowSite(**options) as site:
            return await scenario(site)

    return asyncio.run(body())


# Guards against a bound on reads that does not grow with what is read: a large
# configuration was cut off each time and never in force.
@pytest.mark.parametrize("before", [0, MOST_ROUTES - 1])
@pytest.mark.parametrize("routes", [1_400, 2_800, MOST_ROUTES])
def test_a_large_configuration_is_in_force_in_time_over_a_slow_link(before, routes):
    async def scenario(site):
        await site.start(before)
        # Later than the reads of the first configuration, at no certain moment.
        await asyncio.sleep(1.0 + routes / 10_000)
        site.write(2, routes)
        return await site.in_force(2)

    assert run(scenario) <= CONFIGURATION_SECONDS


# Guards against reads whose cost is the size of the configuration, changed or not.
def test_reads_cost_what_has_changed():
    async def scenario(site):
        await site.start(MOST_ROUTES)
        await asyncio.sleep(1.0)
        before = site.link.passed_bytes["answers"]
        await asyncio.sleep(4.0)
        quiet = site.link.passed_bytes["answers"] - before
        site.write(2, MOST_ROUTES)
        await site.in_force(2)
        await asyncio.sleep(2.0)
        changed = site.link.passed_bytes["answers"] - before - quiet
        return quiet, changed, len(site.server.encoded("op/config"))

    quiet, changed, size = run(scenario)
    assert quiet < size / 50
    assert size < changed < size * 1.05


# Guards against each of several versions in quick succession being read in full.
def test_versions_in_quick_succession_cost_no_more_than_two():
    async def scenario(site):
        await site.start(2_800)
        await asyncio.sleep(1.0)
        before = site.link.passed_bytes["answers"]
        for version in range(2, 8):
            site.write(version, 2_800)
            await asyncio.sleep(0.1)
        await site.in_force(7)
        await asyncio.sleep(1.0)
        passed = site.link.passed_bytes["answers"] - before
        return passed / len(site.server.encoded("op/config"))

    assert run(scenario) < 2.1


# Guards against an older configuration confirmed as current while a change is on its
# way, and against entries of endpoints that wait for it.
def test_a_change_on_its_way_confirms_nothing_and_holds_nothing_else_up():
    async def scenario(site):
        await site.start(MOST_ROUTES)
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        written_at = site.daemon.clock.monotonic()
        site.write(2, MOST_ROUTES)
        await asyncio.sleep(0.1)
        site.server.put("servers/w2", {**WORKER, "Address": "10.0.0.2:8080"})
        began = loop.time()
        while "w2" not in site.daemon.directory.table.endpoints:
            await asyncio.sleep(POLL_SECONDS)
        found = loop.time() - began
        version = site.daemon.in_force.table.version
        confirmed_at = site.daemon.in_force.confirmed_at
        refusals = []
        while site.daemon.in_force.confirmed_at <= written_at + found:
            refusals.append(site.daemon.in_force.refuse_stale())
            await asyncio.sleep(POLL_SECONDS)
        newest = site.daemon.in_force.table.version
        return found, version, confirmed_at - written_at, newest, set(refusals)

    found, version, confirmed_before, newest, refusals = run(scenario)
    assert found < DRAIN_SECONDS
    assert version == 1
    assert confirmed_before <= 0.05
    # Once something is confirmed it is the change, and in time for all credentials.
    assert newest == 2
    assert refusals == {None}


# Guards against a change that is late without a line in the log that says so.
def test_a_change_that_the_link_cannot_carry_in_time_is_logged_as_late(caplog):
    async def scenario(site):
        await site.start(100)
        site.write(2, 2_800)
        return await site.in_force(2)

    caplog.set_level("INFO")
    assert run(scenario, bits_per_second=1_000_000) > CONFIGURATION_SECONDS
    messages = [record.getMessage() for record in caplog.records]
    assert messages.count("content of the store is late") == 1
    assert messages.count("late content of the store received") == 1


# Guards against an answer without end: one that stops is given up in about a second.
def test_an_answer_that_makes_no_progress_is_given_up():
    async def scenario(site):
        site.write(1, MOST_ROUTES)
        loop = asyncio.get_running_loop()
        began = loop.time()
        reading = asyncio.ensure_future(site.source.read())
        await asyncio.sleep(0.5)
        site.link.stalled = True
        read = await reading
        site.link.stalled = False
        return read, loop.time() - began

    read, seconds = run(scenario)
    assert isinstance(read, Failure)
    assert "no progress" in read.failure().detail
    assert seconds < 2.0


# Guards against a watch that is lost: reads alone find the change too.
def test_a_change_is_found_without_the_watch():
    async def scenario(site):
        await site.start(2_800)
        site.tasks.pop().cancel()
        await asyncio.sleep(0.5)
        site.write(2, 2_800)
        return await site.in_force(2)

    assert run(scenario) <= CONFIGURATION_SECONDS + 1.5


# Guards against a large configuration in messages between daemons, which hold 60 KB:
# a member that has read the same revision is told only that.
def test_a_member_takes_a_large_configuration_from_its_own_reads():
    async def scenario(site):
        site.server.put("servers/w1", WORKER)
        site.write(1, 2_800)
        member = PlatformSource(store=site.store, metrics=site.metrics)
        read = (await site.source.read()).unwrap()
        content = site.source.last_content()
        without_value = dataclasses.replace(
            content,
            rows={
                key: ("", *row[1:]) if key in content.large_keys else row
                for key, row in content.rows.items()
            },
        )
        unknown = member.decode_content(without_value)
        await member.read()
        known = member.decode_content(without_value)
        site.write(2, 2_800)
        await site.source.read()
        newer = site.source.last_content()
        revision = newer.rows["op/config"][1:]
        outdated = member.decode_content(
            dataclasses.replace(
                newer, rows={**newer.rows, "op/config": ("", *revision)}
            )
        )
        return content.large_keys, unknown, known, read, outdated

    large, unknown, known, read, outdated = run(scenario, bits_per_second=1e9)
    assert large == {"op/config"}
    assert unknown is None
    assert content_digest(known) == content_digest(read)
    assert known.table.version == 1
    assert outdated is None


# Guards against history that is gone: the configuration is asked for by its revision.
def test_a_watch_whose_history_is_gone_reads_no_value_again():
    async def scenario(site):
        await site.start(2_800)
        await asyncio.sleep(0.5)
        site.server.history.clear()
        for task in site.tasks:
            task.cancel()
        site.source.configuration_known_at = site.server.revision + 1
        before = site.link.passed_bytes["answers"]
        first = await site.source.wait_for_table()
        second = await site.source.wait_for_table()
        passed = site.link.passed_bytes["answers"] - before
        return first, second, passed

    first, second, passed = run(scenario)
    assert isinstance(first, Failure)
    assert second.unwrap() is None
    assert passed < 5_000


# Guards against a pending watch of an ended era, whose revisions are given out again.
def test_a_new_era_ends_the_watch_and_the_configuration_is_read_again():
    async def scenario(site):
        await site.start(2_800)
        await asyncio.sleep(0.5)
        site.write(2, 2_800)
        await site.in_force(2)
        site.server.rewind(1.0)
        site.store.era.observe(site.server.era)
        site.daemon.poller.on_era_change(site.server.era)
        site.write(3, 2_800)
        seconds = await site.in_force(3)
        with contextlib.suppress(TimeoutError):
            await site.in_force(4, seconds=0.1)
        return seconds, site.daemon.in_force.table.version

    seconds, version = run(scenario)
    assert seconds <= CONFIGURATION_SECONDS
    assert version == 3


# Guards against a block of bills that takes longer than a fixed time over a slow link:
# it was written anew each time, and never whole.
def test_the_largest_block_of_bills_is_written_over_a_slow_link():
    async def scenario(site):
        bills = {
            f"{number:032x}": ("account-1234567890", "route-1234567890", "m" * 24, 1234)
            for number in range(MAXIMUM_BLOCK_BILLS)
        }
        block = orjson.dumps(bills)
        written = await site.source.write_bills(
            incarnation="d1", name="1", content=block
        )
        return written, site.server.value("linnetladder/ledger/d1/1") == block

    written, is_whole = run(scenario)
    assert written.unwrap()
    assert is_whole


# Guards against a store that is taken for lost, since a call was given up for a change
# that had arrived by the time at which the other keys were read.
def test_a_call_given_up_for_a_change_is_no_fault_of_the_store():
    async def scenario(site):
        await site.start(2_800)
        await asyncio.sleep(0.5)
        for task in site.tasks:
            task.cancel()
        list_others = site.source._list_others

        async def list_others_slowly():
            listed = await list_others()
            await site.store.transfer_ended.wait()
            return listed

        site.source._list_others = list_others_slowly
        watching = asyncio.ensure_future(site.source.wait_for_table())
        await asyncio.sleep(0.1)
        site.write(2, 2_800)
        while site.store.transfer is None:
            await asyncio.sleep(POLL_SECONDS)
        transfer, site.store.transfer = site.store.transfer, None
        reading = asyncio.ensure_future(site.source.read())
        await asyncio.sleep(0)
        site.store.transfer = transfer
        read = await reading
        return read, (await watching).unwrap()

    read, table = run(scenario)
    assert not read.unwrap().table_is_current
    assert table.version == 2
