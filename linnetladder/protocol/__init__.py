"""Protocols: models of the data exchanged with callers, endpoints, platform and peers.

Input of callers, endpoints and the platform is validated here.
"""

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
    "build_endpoint_report",
    "encode_problem",
    "load_declarations",
    "parse_chat",
    "parse_credential",
    "parse_service_call",
    "problem_event",
    "retry_after",
]
