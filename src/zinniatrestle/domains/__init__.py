"""Start permits, and the gradual readmission of failure domains."""

from zinniatrestle.domains.messages import PermitRefusal, StartPermit
from zinniatrestle.domains.state import PermitIssuer

__all__ = ["PermitIssuer", "PermitRefusal", "StartPermit"]
