"""Days from files: what a file may say, and one short play with real daemons."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from bench.fleet_day import Day, DayPlan, read_plan, read_variants, summarise
from standins.fleet_store import FleetStore
from standins.fleet_worker import Fault, FleetWorker

DAYS = sorted((Path(__file__).parents[2] / "bench" / "days").glob("*.toml"))


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_the_days_that_are_shipped_can_be_read(path):
    assert read_plan(path).traffic


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("seconds = 5", "traffic"),
        ("traffic = [{ route = 'nowhere', per_second = 1 }]\nseconds = 5", "no such"),
        (
            "seconds = 5\ntraffic = [{ route = 'fetch', per_second = 1 }]\n"
            "fault = [{ at = 1, kind = 'earthquake' }]",
            "kind",
        ),
        ("seconds = 5\nsecond = 6", "second"),
        ("seconds = ", "Invalid value"),
    ],
)
def test_a_file_that_is_wrong_says_where(tmp_path, text, said):
    path = tmp_path / "day.toml"
    path.write_text(text, "utf-8")
    with pytest.raises(ValueError, match=said):
        read_plan(path)


def test_variants_of_a_variable_are_read():
    assert read_variants("") == [{}]
    assert read_variants("A=1,2") == [{"A": "1"}, {"A": "2"}]
    with pytest.raises(ValueError, match="NAME=VALUE"):
        read_variants("A")


def test_a_day_with_a_fault_keeps_its_promises(tmp_path):
    plan = DayPlan.model_validate(
        {
            "seconds": 3.0,
            "traffic": [
                {"route": "stream", "per_second": 10.0},
                {"route": "save", "per_second": 10.0},
            ],
            "fault": [
                {
                    "at": 1.0,
                    "kind": "worker_answers",
                    "on": "desk-1",
                    "answers": ["fail", "cut"],
                },
                {"at": 1.0, "kind": "lost_replies"},
            ],
        }
    )
    day = Day(plan=plan, folder=tmp_path, variables={})
    asyncio.run(day.run(settle_seconds=6.0))
    assert day.violations(timed=False) == []
    routes = {row[1]: int(row[3]) for row in summarise(day, "x")}
    assert routes["stream"] > 5 and routes["save"] > 5


def test_a_fault_on_something_unknown_is_a_clear_error(tmp_path):
    plan = DayPlan.model_validate(
        {
            "seconds": 1.0,
            "traffic": [{"route": "save", "per_second": 1.0}],
            "fault": [{"at": 0.0, "kind": "kill", "on": "daemon-9"}],
        }
    )
    day = Day(plan=plan, folder=tmp_path, variables={})
    with pytest.raises(ValueError, match="daemon-9.*there are daemon-1"):
        asyncio.run(day.run())


def test_a_worker_that_cuts_an_answer_short_is_seen_to():
    """The stand-in failed by itself there, and answered 500 instead."""

    async def scenario():
        worker = FleetWorker(name="w", service="desk", store=FleetStore())
        await worker.start()
        worker.faults.append(Fault.CUT)
        headers = {
            "Linnetladder-Attempt-Id": "a1",
            "Linnetladder-Expect-Instance": "w",
        }
        async with aiohttp.ClientSession() as session:
            url = f"http://{worker.address}/save/a1"
            with pytest.raises(aiohttp.ClientPayloadError):
                async with session.post(url, headers=headers) as response:
                    assert response.status == 200
                    await response.read()
        await worker.stop()

    asyncio.run(scenario())
