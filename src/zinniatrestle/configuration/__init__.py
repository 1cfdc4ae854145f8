"""Replicated configuration: templates, client accounts and failure domains."""

from zinniatrestle.configuration.changes import AcceptanceRule, ChangeService
from zinniatrestle.configuration.follower import ConfigurationFollower
from zinniatrestle.configuration.state import ConfigurationState

__all__ = [
    "AcceptanceRule",
    "ChangeService",
    "ConfigurationFollower",
    "ConfigurationState",
]
