"""What a listener asks of its connections, and of the log."""

from abc import ABC, abstractmethod

from zinniatrestle.ingress.states import Cause


class ClientConnection(ABC):
    """A connection that its listener can close."""

    @abstractmethod
    def close_now(self, cause: Cause):
        """Close the connection at once, without a response."""

    @abstractmethod
    def check_time(self, now: float):
        """Close the connection if a time limit has passed."""


class LimitLog(ABC):
    """Log of connections that reached a limit."""

    @abstractmethod
    def write(self, cause: Cause, count: int):
        """Write that `count` connections reached limits, most of them for `cause`."""
