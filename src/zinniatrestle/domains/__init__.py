"""Failure domains out and back, and the permits that starts need."""

from zinniatrestle.domains.messages import PermitRefusal, StartPermit
from zinniatrestle.domains.state import PermitIssuer

__all__ = ["PermitIssuer", "PermitRefusal", "StartPermit"]
