"""Admission of callers by their keys, and the answers they get about jobs."""

from zinniatrestle.serving.frontend import Frontend, RetryLaterError

__all__ = ["Frontend", "RetryLaterError"]
