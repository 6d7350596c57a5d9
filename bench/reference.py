"""Generate the reference pages of settings and metrics from the code."""

from pathlib import Path

from linnetladder.conf import ENVIRONMENT_PREFIX, Settings
from linnetladder.telemetry.metrics import COUNTERS, LATENCIES

__all__ = ["main"]

REFERENCE = Path(__file__).parent.parent / "docs" / "reference"
PROBLEMS = {
    "conf.E001": "a value is missing or invalid",
    "conf.E002": "the failure domain is not among the known ones",
    "conf.E003": "two listeners share a port",
    "conf.E004": "a URL is not an HTTP URL",
    "conf.E005": "some but not all of the three TLS files are given",
    "conf.E006": "a TLS file does not exist",
}


def settings_page() -> str:
    """Return the reference page of a daemon's settings."""
    lines = [
        "# Settings of a daemon",
        "",
        f"Each is a flag `--name` and a variable `{ENVIRONMENT_PREFIX}NAME` of the",
        "environment; the flag goes first. `linnetladderd --check` validates them and",
        "names each problem by id.",
        "",
        "| name | default | meaning |",
        "|---|---|---|",
    ]
    for name, field in Settings.model_fields.items():
        default = "" if field.default in ("", ()) else f"`{field.default}`"
        lines.append(f"| `{name}` | {default} | {field.description} |")
    lines += ["", "| problem | meaning |", "|---|---|"]
    lines += [f"| `{name}` | {meaning} |" for name, meaning in PROBLEMS.items()]
    return "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Return the reference page of a daemon's metrics."""
    lines = [
        "# Metrics",
        "",
        "At `/metrics` of the operations port, in the Prometheus text format, all with",
        "the prefix `linnetladder_`. Counters end in `_total`.",
        "",
        "| counter | label | meaning |",
        "|---|---|---|",
    ]
    for name, family in COUNTERS.items():
        lines.append(f"| `{name}` | {family.label} | {family.help} |")
    lines += ["", "| latency, p50, p95 and p99 | meaning |", "|---|---|"]
    lines += [f"| `{name}` | {help} |" for name, help in LATENCIES.items()]
    lines += [
        "",
        "Gauges: `in_flight`, `queued`, `bills_unrecorded`, `configuration_revision`,",
        "`configuration_age_seconds`, `endpoints`.",
    ]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write both pages."""
    (REFERENCE / "settings.md").write_text(settings_page(), "utf-8")
    (REFERENCE / "metrics.md").write_text(metrics_page(), "utf-8")


if __name__ == "__main__":
    main()
