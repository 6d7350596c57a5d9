"""The reference pages list every error, setting, command and counter."""

from pathlib import Path

import pytest

from linnetladder.conf import Settings
from linnetladder.errors import ERROR_RESPONSES
from linnetladder.management import COMMANDS
from linnetladder.state.settings import NARROWING
from linnetladder.telemetry.metrics import COUNTERS

DOCS = Path(__file__).parent.parent / "docs" / "reference"


@pytest.mark.parametrize(
    ("page", "names"),
    [
        (
            "errors.md",
            [
                f"| `{kind}` | {response.status} | {response.title} |"
                for kind, response in ERROR_RESPONSES.items()
            ],
        ),
        ("settings.md", [f"| `{name}` |" for name in Settings.model_fields]),
        ("declarations.md", [f"`{name}`" for name in NARROWING]),
        ("commands.md", [f"| `{name}" for name in COMMANDS]),
        ("metrics.md", [f"| `{name}` |" for name in COUNTERS]),
    ],
)
def test_page_lists_every_name(page, names):
    text = (DOCS / page).read_text("utf-8")
    assert [name for name in names if name not in text] == []
