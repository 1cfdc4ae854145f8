"""Queues, services and client accounts as set by operators, and who may use them."""

from zinniatrestle.queues.follower import DesiredStateReader
from zinniatrestle.queues.messages import (
    Account,
    Admission,
    AdviceTerms,
    DesiredState,
    Queue,
    Service,
    Wave,
    permitted_regions,
)
from zinniatrestle.queues.state import Freshness, OperatorState

__all__ = [
    "Account",
    "Admission",
    "AdviceTerms",
    "DesiredState",
    "DesiredStateReader",
    "Freshness",
    "OperatorState",
    "Queue",
    "Service",
    "Wave",
    "permitted_regions",
]
