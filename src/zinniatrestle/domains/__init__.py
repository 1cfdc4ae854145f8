"""Failure domains out and back, and the permits that starts need."""

from zinniatrestle.domains.state import PermitOffice, PermitRefusal, StartPermit

__all__ = ["PermitOffice", "PermitRefusal", "StartPermit"]
