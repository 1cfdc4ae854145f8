"""Failure domains out and back, and the permits that starts need."""

from zinniatrestle.domains.messages import PermitRefusal, StartPermit
from zinniatrestle.domains.state import PermitOffice

__all__ = ["PermitOffice", "PermitRefusal", "StartPermit"]
