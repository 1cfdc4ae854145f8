"""Templates, client accounts, and one counted revision of all of them."""

from zinniatrestle.configuration.changes import AcceptanceRule, ChangeDesk
from zinniatrestle.configuration.follower import ConfigurationFollower
from zinniatrestle.configuration.state import ConfigurationState

__all__ = [
    "AcceptanceRule",
    "ChangeDesk",
    "ConfigurationFollower",
    "ConfigurationState",
]
