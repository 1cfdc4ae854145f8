"""Structured log: one JSON line per decision, on standard output."""

from zinniatrestle.events.log import EventLog
from zinniatrestle.events.messages import Event
from zinniatrestle.events.rejections import RejectionLog

__all__ = ["Event", "EventLog", "RejectionLog"]
