"""Requests of callers: admission, claims, routing, retries and answers."""

from zinniatrestle.requests.handler import NoRemote, RequestForwarder, RequestHandler
from zinniatrestle.requests.messages import Answer, KeyState, Request

__all__ = [
    "Answer",
    "KeyState",
    "NoRemote",
    "Request",
    "RequestForwarder",
    "RequestHandler",
]
