"""The operators' command-line tool against the platform's stand-in."""

import asyncio
import json
import threading

import pytest

from linnetladder.management import ExitCode, run
from standins.platform import PlatformStandIn, build_app
from tests.support.site import LocalServer, declarations_text


@pytest.fixture(name="platform_url")
def serve_platform():
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    served = LocalServer(build_app(PlatformStandIn()))
    port = asyncio.run_coroutine_threadsafe(served.start(), loop).result()
    yield f"http://127.0.0.1:{port}"
    asyncio.run_coroutine_threadsafe(served.stop(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


@pytest.fixture(name="run_tool")
def make_run_tool(platform_url, capsys):
    def call(*arguments: str) -> tuple[int, str]:
        code = run([*arguments, f"--platform_urls={platform_url}"])
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    return call


@pytest.fixture(name="declaration_file")
def write_declaration_file(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(declarations_text(), "utf-8")
    return path


def test_get_and_history_show_applied_file(run_tool, declaration_file):
    assert run_tool("apply", str(declaration_file), "--author=anna")[0] == ExitCode.OK
    code, text = run_tool("get", "firm/limited", "burst", "--format=json")
    assert code == ExitCode.OK
    assert json.loads(text) == {"burst": {"value": 1, "node": "firm/limited"}}
    code, text = run_tool("history", "--format=json")
    assert [entry["author"] for entry in json.loads(text)] == ["anna"]


def test_invalid_file_changes_nothing(run_tool, declaration_file):
    declaration_file.write_text(
        declaration_file.read_text().replace("burst: 1000", "bursts: 1")
    )
    code, text = run_tool("apply", str(declaration_file))
    assert code == ExitCode.INVALID
    assert "key 'bursts' is unknown" in text
    assert run_tool("history", "--format=json") == (ExitCode.OK, "[]\n")


def test_withdrawal_persists_until_reinstated(run_tool, declaration_file):
    run_tool("apply", str(declaration_file))
    assert run_tool("withdraw", "large@1", "--reason=bad")[0] == ExitCode.OK
    declaration_file.write_text(
        declaration_file.read_text().replace("burst: 1000", "burst: 900")
    )
    run_tool("apply", str(declaration_file))
    code, text = run_tool("plan", str(declaration_file), "--format=json")
    assert json.loads(text) == {"revision": 3, "changes": []}
    declaration_file.write_text("reinstate: [large@1]\n" + declaration_file.read_text())
    assert run_tool("apply", str(declaration_file))[0] == ExitCode.OK
    assert (
        json.loads(run_tool("plan", str(declaration_file), "--format=json")[1])[
            "revision"
        ]
        == 4
    )


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
def test_exit_codes(run_tool, declaration_file, arguments, code):
    run_tool("apply", str(declaration_file))
    assert run_tool(*arguments)[0] == code


def test_unreachable_platform_is_reported(capsys, declaration_file):
    code = run(
        ["history", "--platform_urls=http://127.0.0.1:9", "--timeout_seconds=0.2"]
    )
    assert code == ExitCode.UNREACHABLE
    assert "unreachable" in capsys.readouterr().err
