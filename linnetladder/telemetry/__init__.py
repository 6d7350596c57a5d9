"""Telemetry: metrics, traces by hop, and JSON logs."""

from linnetladder.lazy_exports import lazy_exports

__all__ = [
    "Hop",
    "LineWriter",
    "Metrics",
    "RefusalLog",
    "RequestTrace",
    "Tracer",
    "build_tracer",
    "configure_logs",
    "log_change",
    "log_failure",
    "log_request",
    "start_request_log",
    "watch_lateness",
]

__getattr__, __dir__ = lazy_exports(
    __name__,
    {
        "Hop": "traces",
        "LineWriter": "line_writer",
        "Metrics": "metrics",
        "RefusalLog": "refusal_log",
        "RequestTrace": "traces",
        "Tracer": "traces",
        "build_tracer": "traces",
        "configure_logs": "logs",
        "log_change": "logs",
        "log_failure": "logs",
        "log_request": "request_log",
        "start_request_log": "request_log",
        "watch_lateness": "lateness",
    },
)
