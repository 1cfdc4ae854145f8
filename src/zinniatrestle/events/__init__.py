"""Structured log lines: one for each decision, as JSON on standard output."""

from zinniatrestle.events.log import EventLog
from zinniatrestle.events.messages import Event

__all__ = ["Event", "EventLog"]
