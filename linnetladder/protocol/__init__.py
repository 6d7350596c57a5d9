"""Protocols: models of the data exchanged with callers, endpoints, platform and peers.

Input of callers, endpoints and the platform is validated here.
"""

from linnetladder.lazy_exports import lazy_exports

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

__getattr__, __dir__ = lazy_exports(
    __name__,
    {
        "Submission": "callers",
        "parse_chat": "callers",
        "parse_credential": "callers",
        "parse_service_call": "callers",
        "Declarations": "declarations",
        "load_declarations": "declarations",
        "AnswerCheck": "engines",
        "LoadBody": "engines",
        "build_endpoint_report": "engines",
        "InstanceListBody": "instances",
        "encode_problem": "problems",
        "problem_event": "problems",
        "retry_after": "problems",
    },
)
