"""Day plans: validation of their files, and a short run with real daemons."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from bench.fleet_day import Day, DayPlan, read_plan, read_variants, summarize
from standins.fleet_store import FleetStore
from standins.fleet_worker import Fault, FleetWorker

DAY_FILES = sorted((Path(__file__).parents[2] / "bench" / "days").glob("*.toml"))


@pytest.mark.parametrize("path", DAY_FILES, ids=lambda path: path.stem)
def test_shipped_day_plans_are_valid(path):
    assert read_plan(path).traffic


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_invalid_day_plan_error_names_the_invalid_part(tmp_path, text, message):
    path = tmp_path / "day.toml"
    path.write_text(text, "utf-8")
    with pytest.raises(ValueError, match=message):
        read_plan(path)


def test_variable_variants_are_parsed():
    assert read_variants("") == [{}]
    assert read_variants("A=1,2") == [{"A": "1"}, {"A": "2"}]
    with pytest.raises(ValueError, match="NAME=VALUE"):
        read_variants("A")


def test_day_with_faults_violates_no_guarantee(tmp_path):
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
    routes = {row[1]: int(row[3]) for row in summarize(day, "x")}
    assert routes["stream"] > 5 and routes["save"] > 5


def test_fault_on_unknown_target_lists_the_valid_targets(tmp_path):
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


def test_worker_truncates_its_answer_for_the_cut_fault():
    """Guards against an error in the stand-in, which answered 500 instead."""

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
