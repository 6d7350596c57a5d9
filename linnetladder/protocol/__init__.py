"""Protocols: the validated border models of callers, endpoints, platform and peers."""

from linnetladder.protocol.callers import (
    Submission,
    parse_chat,
    parse_credential,
    parse_service_call,
)
from linnetladder.protocol.declarations import Declarations, load_declarations
from linnetladder.protocol.engines import AnswerCheck, LoadBody, build_endpoint_report
from linnetladder.protocol.instances import InstanceListBody
from linnetladder.protocol.problems import encode_problem, problem_event, retry_after

__all__ = [
    "AnswerCheck",
    "Declarations",
    "InstanceListBody",
    "LoadBody",
    "Submission",
    "encode_problem",
    "load_declarations",
    "load_report",
    "parse_chat",
    "parse_credential",
    "parse_service_call",
    "problem_event",
    "retry_after",
]
