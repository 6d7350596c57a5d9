"""The operators' tool against the platform's stand-in."""

import asyncio
import json
import threading

import pytest

from linnetladder.management import ExitCode, run
from standins.platform import PlatformStandIn, build_app
from tests.support.site import Served, declarations_text


@pytest.fixture(name="platform_url")
def serve_platform():
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    served = Served(build_app(PlatformStandIn()))
    port = asyncio.run_coroutine_threadsafe(served.start(), loop).result()
    yield f"http://127.0.0.1:{port}"
    asyncio.run_coroutine_threadsafe(served.stop(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


@pytest.fixture(name="tool")
def make_tool(platform_url, capsys):
    def call(*arguments: str) -> tuple[int, str]:
        code = run([*arguments, f"--platform_urls={platform_url}"])
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    return call


@pytest.fixture(name="declared")
def write_declarations(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(declarations_text(), "utf-8")
    return path


def test_apply_then_get_then_history(tool, declared):
    assert tool("apply", str(declared), "--author=anna")[0] == ExitCode.OK
    code, text = tool("get", "firm/limited", "burst", "--format=json")
    assert code == ExitCode.OK
    assert json.loads(text) == {"burst": {"value": 1, "node": "firm/limited"}}
    code, text = tool("history", "--format=json")
    assert [entry["author"] for entry in json.loads(text)] == ["anna"]


def test_a_file_with_problems_changes_nothing(tool, declared):
    declared.write_text(declared.read_text().replace("burst: 1000", "bursts: 1"))
    code, text = tool("apply", str(declared))
    assert code == ExitCode.INVALID
    assert "key 'bursts' is unknown" in text
    assert tool("history", "--format=json") == (ExitCode.OK, "[]\n")


def test_a_withdrawal_outlives_the_next_apply_until_it_is_taken_back(tool, declared):
    tool("apply", str(declared))
    assert tool("withdraw", "large@1", "--reason=bad")[0] == ExitCode.OK
    declared.write_text(declared.read_text().replace("burst: 1000", "burst: 900"))
    tool("apply", str(declared))
    code, text = tool("plan", str(declared), "--format=json")
    assert json.loads(text) == {"revision": 3, "changes": []}
    declared.write_text("reinstate: [large@1]\n" + declared.read_text())
    assert tool("apply", str(declared))[0] == ExitCode.OK
    assert json.loads(tool("plan", str(declared), "--format=json")[1])["revision"] == 4


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (("withdraw", "large"), ExitCode.USAGE),
        (("withdraw", "none@1"), ExitCode.NOT_FOUND),
        (("get", "nobody"), ExitCode.NOT_FOUND),
        (("explain", "a.b.c"), ExitCode.UNREACHABLE),
        (("bill",), ExitCode.OK),
        (("status",), ExitCode.OK),
        (("rotate-key",), ExitCode.OK),
        (("unheard-of",), ExitCode.USAGE),
        (("plan",), ExitCode.USAGE),
        (("plan", "--unheard-of"), ExitCode.USAGE),
    ],
)
def test_exit_codes(tool, declared, arguments, code):
    tool("apply", str(declared))
    assert tool(*arguments)[0] == code


def test_a_platform_out_of_reach_is_said_so(capsys, declared):
    code = run(
        ["history", "--platform_urls=http://127.0.0.1:9", "--timeout_seconds=0.2"]
    )
    assert code == ExitCode.UNREACHABLE
    assert "unreachable" in capsys.readouterr().err
