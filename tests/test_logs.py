"""Log lines: never torn, never waited for, all of them in the reference."""

import ast
import io
import json
import os
from pathlib import Path

import pytest

from linnetladder.forwarding.coordination.reporting import RequestEvent
from linnetladder.management import ExitCode, run
from linnetladder.telemetry.line_writer import LineWriter
from linnetladder.telemetry.request_log import RequestLog
from linnetladder.telemetry.timelines import build_timeline, read_log_lines

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "reference" / "logs.md").read_text("utf-8")
LOG_FUNCTIONS = frozenset(("log_change", "log_failure", "log_request"))


def events_in_the_code():
    """Return the event names that are written as literals."""
    for path in sorted((ROOT / "linnetladder").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            called = isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
            if called and node.func.id in LOG_FUNCTIONS:
                if isinstance(node.args[0], ast.Constant):
                    yield node.args[0].value


def test_the_reference_names_every_event():
    names = {*events_in_the_code(), *RequestEvent}
    assert len(names) > 30
    assert sorted(name for name in names if f"`{name}`" not in PAGE) == []


@pytest.fixture(name="pipe")
def make_pipe():
    reading, writing = os.pipe()
    yield reading, LineWriter(descriptor=writing)
    os.close(reading)
    os.close(writing)


def test_a_reader_that_stands_still_costs_lines_and_never_time(pipe):
    reading, writer = pipe
    line = b'{"event":"answered","padding":"' + b"x" * 5_000 + b'"}\n'
    written = [writer.write(line) for _ in range(100)]
    assert True in written and False in written
    content = os.read(reading, 1 << 20)
    assert writer.write(b'{"event":"last"}\n')
    content += os.read(reading, 1 << 20)
    events = [json.loads(text)["event"] for text in content.splitlines()]
    assert events == ["answered"] * written.count(True) + ["last"]
    assert writer.take_dropped() == written.count(False)


def test_plain_successes_are_left_out_before_refusals(pipe):
    reading, writer = pipe
    log = RequestLog(instance="daemon-1", writer=writer)
    dropped = []
    writer.on_dropped = lambda: dropped.append(1)
    for serial in range(300):
        log.write("answered", {"request": str(serial)}, plain=True)
    for serial in range(100):
        log.write("refused", {"request": str(serial)}, plain=False)
    lines = [json.loads(text) for text in os.read(reading, 1 << 20).splitlines()]
    events = [line["event"] for line in lines]
    assert events.count("refused") == 100
    assert 200 <= events.count("answered") <= 210
    first_refusal = lines[events.index("refused")]
    assert first_refusal["dropped_before"] == len(dropped)


def change(time, event, instance="daemon-1", **fields):
    return {"time": time, "instance": instance, "event": event, **fields}


STALE = [
    change(10.0, "configuration in force", version=4),
    change(20.0, "store lost", kind="unreachable"),
    change(20.5, "store lost", instance="daemon-2", kind="unreachable"),
    change(24.0, "refused", request="r1", kind="configuration_stale", attempts=[]),
]
FAILED = [
    change(1.0, "endpoint registered", endpoint="e1", service="engines"),
    change(1.0, "endpoint registered", endpoint="e2", service="engines"),
    change(2.0, "version found bad", service="engines", reason="answers"),
    change(2.0, "version found bad", service="desk", reason="answers"),
    change(
        9.0,
        "failed",
        request="r2",
        service="engines",
        attempts=["e1/small=500@0.1", "confidence=40:doubtful"],
    ),
]


def test_a_timeline_has_what_its_own_instance_believed_and_the_deciding_line():
    timeline = build_timeline(STALE, "r1")
    assert [c.line["event"] for c in timeline.entries] == [
        "configuration in force",
        "store lost",
        "refused",
    ]
    (deciding,) = (c for c in timeline.entries if c.deciding)
    assert deciding.line["event"] == "store lost"
    assert deciding.age == pytest.approx(4.0)


def test_a_timeline_has_the_endpoints_that_were_tried_and_no_others():
    told = [(c.line["event"], c.own) for c in build_timeline(FAILED, "r2").entries]
    assert told == [
        ("endpoint registered", False),
        ("version found bad", False),
        ("failed", True),
    ]
    assert build_timeline(FAILED, "r3") is None


def write_logs(tmp_path):
    paths = []
    for instance in ("daemon-1", "daemon-2"):
        path = tmp_path / f"{instance}.log"
        content = io.StringIO("not a log line\n")
        content.seek(0, io.SEEK_END)
        for line in STALE:
            if line["instance"] == instance:
                content.write(f"  {line['time']} {instance} {json.dumps(line)}\n")
        path.write_text(content.getvalue(), "utf-8")
        paths.append(path)
    return paths


def test_lines_of_several_files_are_read_in_order_of_time(tmp_path):
    assert read_log_lines(write_logs(tmp_path)) == STALE


def test_the_tool_prints_a_timeline_without_a_platform(tmp_path, capsys):
    files = ",".join(map(str, write_logs(tmp_path)))
    assert run(["explain", f"--logs={files}", "r1"]) == ExitCode.OK
    printed = capsys.readouterr().out
    assert "=> 1970-01-01 00:00:20Z (4.000 s before the end) daemon-1: store" in printed


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (("r9",), ExitCode.NOT_FOUND, "none of 4 log lines is about request 'r9'"),
        ((), ExitCode.USAGE, "give the id of one request"),
    ],
)
def test_the_tool_says_what_it_did_not_find(tmp_path, capsys, arguments, code, said):
    files = ",".join(map(str, write_logs(tmp_path)))
    assert run(["explain", f"--logs={files}", *arguments]) == code
    assert said in capsys.readouterr().err


def test_a_missing_file_is_a_clear_error(tmp_path, capsys):
    code = run(["explain", f"--logs={tmp_path / 'none.log'}", "r1"])
    assert code == ExitCode.NOT_FOUND
    assert "can't read the logs" in capsys.readouterr().err
