"""The front door of a host: whom it admits, and what it tells callers."""

from zinniatrestle.serving.door import FrontDoor, Pass, RetryLaterError

__all__ = ["FrontDoor", "Pass", "RetryLaterError"]
