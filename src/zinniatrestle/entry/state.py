"""States of an entry host."""

from enum import Enum


class HostState(Enum):
    """Where an entry host is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"
