"""Logs: torn and dropped lines, the reference of event names, and timelines."""

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
REFERENCE_PAGE = (ROOT / "docs" / "reference" / "logs.md").read_text("utf-8")
LOG_FUNCTIONS = frozenset(("log_change", "log_failure", "log_request"))


def literal_event_names():
    """Yield the event names that are passed to log functions as literals."""
    for path in sorted((ROOT / "linnetladder").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            called = isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
            if called and node.func.id in LOG_FUNCTIONS:
                if isinstance(node.args[0], ast.Constant):
                    yield node.args[0].value


def test_the_reference_names_every_event():
    names = {*literal_event_names(), *RequestEvent}
    assert len(names) > 30
    assert sorted(name for name in names if f"`{name}`" not in REFERENCE_PAGE) == []


@pytest.fixture(name="pipe")
def make_pipe():
    read_end, write_end = os.pipe()
    yield read_end, LineWriter(descriptor=write_end)
    os.close(read_end)
    os.close(write_end)


def test_stalled_reader_loses_lines_but_never_blocks_the_writer(pipe):
    read_end, writer = pipe
    line = b'{"event":"answered","padding":"' + b"x" * 5_000 + b'"}\n'
    written = [writer.write(line) for _ in range(100)]
    assert True in written and False in written
    content = os.read(read_end, 1 << 20)
    assert writer.write(b'{"event":"last"}\n')
    content += os.read(read_end, 1 << 20)
    events = [json.loads(text)["event"] for text in content.splitlines()]
    assert events == ["answered"] * written.count(True) + ["last"]
    assert writer.take_dropped() == written.count(False)


def test_low_priority_lines_are_dropped_before_refusals(pipe):
    read_end, writer = pipe
    log = RequestLog(instance="daemon-1", writer=writer)
    dropped = []
    writer.on_dropped = lambda: dropped.append(1)
    for serial in range(300):
        log.write("answered", {"request": str(serial)}, low_priority=True)
    for serial in range(100):
        log.write("refused", {"request": str(serial)}, low_priority=False)
    lines = [json.loads(text) for text in os.read(read_end, 1 << 20).splitlines()]
    events = [line["event"] for line in lines]
    assert events.count("refused") == 100
    assert 200 <= events.count("answered") <= 210
    first_refusal = lines[events.index("refused")]
    assert first_refusal["dropped_before"] == len(dropped)


def log_line(time, event, instance="daemon-1", **fields):
    return {"time": time, "instance": instance, "event": event, **fields}


STALE_CONFIGURATION_LINES = [
    log_line(10.0, "configuration in force", version=4),
    log_line(20.0, "store lost", kind="unreachable"),
    log_line(20.5, "store lost", instance="daemon-2", kind="unreachable"),
    log_line(24.0, "refused", request="r1", kind="configuration_stale", attempts=[]),
]
FAILED_REQUEST_LINES = [
    log_line(1.0, "endpoint registered", endpoint="e1", service="engines"),
    log_line(1.0, "endpoint registered", endpoint="e2", service="engines"),
    log_line(2.0, "version found bad", service="engines", reason="answers"),
    log_line(2.0, "version found bad", service="desk", reason="answers"),
    log_line(
        9.0,
        "failed",
        request="r2",
        service="engines",
        attempts=["e1/small=500@0.1", "confidence=40:doubtful"],
    ),
]


def test_timeline_has_lines_of_the_same_instance_and_marks_the_deciding_one():
    timeline = build_timeline(STALE_CONFIGURATION_LINES, "r1")
    assert [entry.line["event"] for entry in timeline.entries] == [
        "configuration in force",
        "store lost",
        "refused",
    ]
    (deciding,) = (entry for entry in timeline.entries if entry.deciding)
    assert deciding.line["event"] == "store lost"
    assert deciding.age == pytest.approx(4.0)


def test_timeline_has_lines_of_attempted_endpoints_only():
    timeline_events = [
        (entry.line["event"], entry.own)
        for entry in build_timeline(FAILED_REQUEST_LINES, "r2").entries
    ]
    assert timeline_events == [
        ("endpoint registered", False),
        ("version found bad", False),
        ("failed", True),
    ]
    assert build_timeline(FAILED_REQUEST_LINES, "r3") is None


def write_logs(tmp_path):
    paths = []
    for instance in ("daemon-1", "daemon-2"):
        path = tmp_path / f"{instance}.log"
        content = io.StringIO("not a log line\n")
        content.seek(0, io.SEEK_END)
        for line in STALE_CONFIGURATION_LINES:
            if line["instance"] == instance:
                content.write(f"  {line['time']} {instance} {json.dumps(line)}\n")
        path.write_text(content.getvalue(), "utf-8")
        paths.append(path)
    return paths


def test_log_lines_of_several_files_are_sorted_by_time(tmp_path):
    assert read_log_lines(write_logs(tmp_path)) == STALE_CONFIGURATION_LINES


def test_explain_prints_a_timeline_without_a_platform(tmp_path, capsys):
    files = ",".join(map(str, write_logs(tmp_path)))
    assert run(["explain", f"--logs={files}", "r1"]) == ExitCode.OK
    printed = capsys.readouterr().out
    assert "=> 1970-01-01 00:00:20Z (4.000 s before the end) daemon-1: store" in printed


@pytest.mark.parametrize(
    ("arguments", "code", "expected_message"),
    [
        (("r9",), ExitCode.NOT_FOUND, "none of 4 log lines is about request 'r9'"),
        ((), ExitCode.USAGE, "give the id of one request"),
    ],
)
def test_explain_reports_a_request_that_is_missing_or_not_given(
    tmp_path, capsys, arguments, code, expected_message
):
    files = ",".join(map(str, write_logs(tmp_path)))
    assert run(["explain", f"--logs={files}", *arguments]) == code
    assert expected_message in capsys.readouterr().err


def test_explain_reports_an_unreadable_log_file(tmp_path, capsys):
    code = run(["explain", f"--logs={tmp_path / 'none.log'}", "r1"])
    assert code == ExitCode.NOT_FOUND
    assert "can't read the logs" in capsys.readouterr().err
