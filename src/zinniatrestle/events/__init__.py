"""Structured log: one JSON line per decision, on standard output."""

from zinniatrestle.events.log import EventLog
from zinniatrestle.events.messages import Event

__all__ = ["Event", "EventLog"]
