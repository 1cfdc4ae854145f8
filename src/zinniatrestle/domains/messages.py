"""Start permits and the reasons to refuse one."""

from enum import Enum

import msgspec

from zinniatrestle.ids import Epoch, FailureDomainId, Revision


class PermitRefusal(Enum):
    """Reason why a start permit is refused."""

    DOMAIN_OUT = "domain out"
    NOT_CONFIRMED = "configuration not confirmed"


class StartPermit(msgspec.Struct, frozen=True):
    """Permission to start tasks in a failure domain until `start_by` (wall seconds)."""

    domain: FailureDomainId
    epoch: Epoch
    revision: Revision
    start_by: float
