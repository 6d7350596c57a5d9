"""Telemetry: counters and histograms, traces by hop, logs of changes of state."""

from linnetladder.telemetry.logs import configure_logs, log_change, log_failure
from linnetladder.telemetry.metrics import Metrics
from linnetladder.telemetry.request_log import log_request, start_request_log
from linnetladder.telemetry.traces import Hop, RequestTrace, Tracer, build_tracer

__all__ = [
    "Hop",
    "Metrics",
    "RequestTrace",
    "Tracer",
    "build_tracer",
    "configure_logs",
    "log_change",
    "log_failure",
    "log_request",
    "start_request_log",
]
