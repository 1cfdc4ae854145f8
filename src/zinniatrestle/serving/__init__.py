"""The front door of a host: whom it admits, and what it tells callers."""

from zinniatrestle.serving.frontend import Admission, Frontend, RetryLaterError

__all__ = ["Frontend", "Admission", "RetryLaterError"]
