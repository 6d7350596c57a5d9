"""Settings that are empty, missing or unreadable: what each field means then."""

import os
import signal
import subprocess
import sys
import time
import urllib.request

import pytest

from bench.processes import free_port
from linnetladder.platform import SettingsError, read_settings
from linnetladder.platform.settings import BoundsModel, LimitsModel
from tests.forwarding.test_platform import SETTINGS

REQUIRED = (
    "Node",
    "Zone",
    "Ip",
    "Listen.Front",
    "Listen.Ready",
    "PortRange",
    "Provider.Address",
)
# Any text names an instance or a failure domain.
NAMES = ("Node", "Zone")
FIGURES = (
    *(f"Bounds.{name}" for name in BoundsModel.model_fields),
    *(f"Limits.{name}" for name in LimitsModel.model_fields),
)
NUMBERS = [name for name in FIGURES if name != "Bounds.StrictRevoke"]
# Bounds for which zero is a figure; a time of zero can't be kept.
MAY_BE_ZERO = ("Ratio", "Slack", "Share", "Overage")
START_SECONDS = 10.0


def lines(**changes):
    """Return the lines of a file without figures, with some changed or left out."""
    kept = [line for line in SETTINGS.splitlines() if not line.startswith("Bounds.")]
    values = dict(line.split("=", 1) for line in kept) | changes
    return [f"{name}={value}" for name, value in values.items() if value is not None]


def read(folder, text):
    path = folder / "node.conf"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return read_settings(path)


# Guards against one figure without a value that ends every daemon at its start.
@pytest.mark.parametrize("name", FIGURES)
@pytest.mark.parametrize("value", ["", "  "])
def test_an_empty_figure_is_a_missing_one(tmp_path, name, value):
    changed = read(tmp_path, "\n".join([*lines(), f"{name}={value}"]))
    assert changed == read(tmp_path, "\n".join(lines()))
    assert changed.problems == ()


# Guards against a figure that can't be read ending the daemon, or being believed.
@pytest.mark.parametrize("name", FIGURES)
@pytest.mark.parametrize("value", ["soon", "nan", "inf", "-inf", "-1", "1e308", "1,5"])
def test_an_unreadable_figure_has_its_default_and_is_named(tmp_path, name, value):
    defaults = read(tmp_path, "\n".join(lines()))
    others = ["Bounds.DrainMs=1234", "Limits.MemoryMb=160"]
    others = [line for line in others if not line.startswith(f"{name}=")]
    changed = read(tmp_path, "\n".join([*lines(), *others, f"{name}={value}"]))
    (problem,) = changed.problems
    assert problem.startswith(f"{name}: ") and len(problem) > len(f"{name}: ")
    if name != "Bounds.DrainMs":
        assert changed.bounds.drain == 1.234
    if name == "Limits.MemoryMb":
        assert changed.memory_megabytes == defaults.memory_megabytes
    else:
        assert changed.memory_megabytes == 160
    without = read(tmp_path, "\n".join([*lines(), *others]))
    assert (changed.bounds, changed.descriptors) == (without.bounds, 4096)


# Guards against a bound of zero that is divided by, or that no daemon can keep.
@pytest.mark.parametrize("name", NUMBERS)
def test_zero_is_a_figure_only_where_nothing_may_be_allowed(tmp_path, name):
    problems = read(tmp_path, "\n".join([*lines(), f"{name}=0"])).problems
    assert bool(problems) != name.endswith(MAY_BE_ZERO)


# Guards against a start with an identity or an address that is not one.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        *((name, value) for name in REQUIRED for value in (None, "")),
        *((name, "300.0.0.1:0") for name in REQUIRED if name not in NAMES),
        *((name, "9,x") for name in REQUIRED if name not in NAMES),
        ("PortRange", "9,8"),
        ("Provider.Address", "10.9.0.1:65536"),
        ("Provider.Address", "10.9.0.1"),
    ],
)
def test_a_file_without_identity_or_addresses_is_refused(tmp_path, name, value):
    with pytest.raises(SettingsError, match=name.replace(".", r"\.")):
        read(tmp_path, "\n".join(lines(**{name: value})))


# Guards against names that are not known, which may come in any form.
@pytest.mark.parametrize(
    "added",
    [
        "Bounds=",
        "Limits=",
        "Zones=",
        "Listen=",
        "Bounds=7",
        "Zones.=r",
        "Unknown=",
        "Unknown=1\nUnknown.Field=",
        "Node.Rack=7",
        "Zone.Name=",
        "Bounds.Unknown=",
        "Bounds.RevokeMs.Unit=s",
        "no separator",
        "=",
    ],
)
def test_other_lines_change_nothing(tmp_path, added):
    plain = read(tmp_path, "\n".join(lines()))
    assert read(tmp_path, "\n".join([added, *lines()])) == plain
    assert read(tmp_path, "\n".join([*lines(), added])) == plain


# Guards against bytes that are no text in one line hiding all others.
def test_bytes_that_are_no_text_concern_their_line_alone(tmp_path):
    text = "\n".join([*lines(), "Bounds.DrainMs=1500", ""]).encode()
    settings = read(tmp_path, text + b"Unknown=\xff\xfe\nBounds.RevokeMs=\xff\n")
    assert settings.bounds.drain == 1.5
    assert [p.partition(":")[0] for p in settings.problems] == ["Bounds.RevokeMs"]


def wait_for_line(process, event):
    """Return the daemon's next log line of an event."""
    ends = time.monotonic() + START_SECONDS
    while time.monotonic() < ends:
        line = process.stdout.readline().decode()
        if f'"{event}"' in line:
            return line
    raise AssertionError(f"no line {event!r}")


# Guards against a daemon that ends at its start, or that ignores all of a changed file,
# for one figure; the first is what callers saw, and the second hid the change.
def test_a_daemon_starts_and_reloads_with_unreadable_figures(tmp_path):
    caller_port, ready_port, peer_port, store_port = (free_port() for _ in range(4))
    changes = {
        "Ip": "127.0.0.1",
        "Listen.Front": f"127.0.0.1:{caller_port}",
        "Listen.Ready": f"127.0.0.1:{ready_port}",
        "PortRange": f"{peer_port},{peer_port}",
        "Provider.Address": f"127.0.0.1:{store_port}",
    }
    path = tmp_path / "node.conf"
    empty = [f"{name}=" for name in FIGURES]
    path.write_text("\n".join([*lines(**changes), *empty]))
    process = subprocess.Popen(
        [sys.executable, "-m", "linnetladder.fleet"],
        env={**os.environ, "LINNETLADDER_BOOT": str(path)},
        stdout=subprocess.PIPE,
    )
    try:
        wait_for_line(process, "started")
        path.write_text(
            "\n".join([*lines(**changes), "Bounds.GraceS=nan", "Bounds.DrainMs=1500"])
        )
        process.send_signal(signal.SIGHUP)
        assert '"drain": 1.5' in wait_for_line(process, "settings reloaded")
        assert "Bounds.GraceS" in wait_for_line(process, "settings partly unreadable")
        url = f"http://127.0.0.1:{ready_port}/metrics"
        with urllib.request.urlopen(url, timeout=START_SECONDS) as metrics:
            assert b"linnetladder_unreadable_settings 1.0" in metrics.read()
    finally:
        process.kill()
        process.communicate()
