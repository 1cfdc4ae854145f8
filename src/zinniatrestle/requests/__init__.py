"""Requests of callers: admission, claims, routing, retries and answers."""

from zinniatrestle.requests.handler import NoForwarder, RequestForwarder, RequestHandler
from zinniatrestle.requests.messages import Answer, KeyState, Request

__all__ = [
    "Answer",
    "KeyState",
    "NoForwarder",
    "Request",
    "RequestForwarder",
    "RequestHandler",
]
