"""States of an entry host."""

from enum import Enum


class HostState(Enum):
    """Lifecycle state of an entry host."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    STOPPED = "stopped"
