"""Start permits, and why none is given."""

from enum import Enum

import msgspec

from zinniatrestle.ids import Epoch, FailureDomainId, Revision


class PermitRefusal(Enum):
    """Why no start permit is given."""

    DOMAIN_OUT = "domain out"
    NOT_CONFIRMED = "configuration not confirmed"


class StartPermit(msgspec.Struct, frozen=True):
    """Leave to start tasks in a failure domain until `start_by` (wall seconds)."""

    domain: FailureDomainId
    epoch: Epoch
    revision: Revision
    start_by: float
