"""Settings: precedence, problems with ids, and startup errors of the daemon."""

import os
import socket
import subprocess
import sys

import pytest
from absl import flags
from returns.result import Failure

from linnetladder.conf import define_setting_flags, load_settings, read_setting_flags

VALID = {
    "instance": "ke-1",
    "failure_domain": "riga-ke",
    "failure_domains": "riga-ke, riga-pl",
    "platform_urls": "http://127.0.0.1:2379",
    "instance_list_url": "http://127.0.0.1:2379/instances",
}


def read_flags(arguments: list[str], environment: dict[str, str]) -> dict[str, str]:
    values = flags.FlagValues()
    define_setting_flags(values)
    values(["linnetladderd", *arguments])
    return read_setting_flags(values, environment)


def test_flags_override_environment_variables_and_defaults():
    environment = {"LINNETLADDER_CALLER_PORT": "81", "LINNETLADDER_INSTANCE": "a"}
    setting_values = read_flags(["--caller_port=82"], environment)
    assert (setting_values["caller_port"], setting_values["instance"]) == ("82", "a")
    assert "peer_port" not in setting_values


def test_valid_settings_load():
    settings = load_settings(VALID).unwrap()
    assert settings.failure_domains == ("riga-ke", "riga-pl")


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"instance": ""}, "conf.E001"),
        ({"address": "localhost"}, "conf.E001"),
        ({"silence_seconds": "-1"}, "conf.E001"),
        ({"failure_domain": "oslo"}, "conf.E002"),
        ({"caller_port": "9", "peer_port": "9"}, "conf.E003"),
        ({"platform_urls": "127.0.0.1:2379"}, "conf.E004"),
        ({"instance_list_url": ""}, "conf.E004"),
        ({"tls_key": "a.key"}, "conf.E005"),
        (
            {"tls_key": "no", "tls_certificate": "no", "tls_authority": "no"},
            "conf.E006",
        ),
    ],
)
def test_each_problem_has_its_id_and_a_hint(changes, problem):
    loaded = load_settings(VALID | changes)
    assert isinstance(loaded, Failure)
    assert problem in {reported.id for reported in loaded.failure()}
    assert all("hint" in str(reported) for reported in loaded.failure())


def run_daemon(*arguments: str, seconds: float = 20.0) -> subprocess.CompletedProcess:
    valid_flags = [f"--{name}={value}" for name, value in VALID.items()]
    environment = {k: v for k, v in os.environ.items() if "LINNETLADDER" not in k}
    return subprocess.run(
        [sys.executable, "-m", "linnetladder.daemon", *valid_flags, *arguments],
        capture_output=True,
        text=True,
        timeout=seconds,
        env=environment,
        check=False,
    )


def test_check_flag_accepts_valid_and_rejects_invalid_settings():
    assert run_daemon("--check").returncode == 0
    failed = run_daemon("--check", "--failure_domain=oslo")
    assert failed.returncode == 2
    assert "conf.E002" in failed.stderr
    assert run_daemon("--no-such-flag").returncode == 2


def test_port_in_use_is_reported_without_a_traceback():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        failed = run_daemon(f"--caller_port={port}", "--operations_port=0")
    assert failed.returncode == 1
    assert "can't listen" in failed.stderr
    assert "Traceback" not in failed.stderr
