"""What a proof has found so far."""

from zinniatrestle.ids import ClientAccountId, Revision
from zinniatrestle.retirement.messages import ClosedPart, OpenPart


class Findings:
    """Gather closed and open parts."""

    def __init__(self):
        self.closed: list[ClosedPart] = []
        self.open: list[OpenPart] = []


class RetiredIncarnation:
    """Name the life of an account that is to be proved over.

    Whatever is not confirmed may serve it until `grace_end_wall` at the latest.
    """

    def __init__(
        self,
        account: ClientAccountId,
        incarnation: Revision,
        revision: Revision,
        wall: float,
        grace_end_wall: float,
    ):
        self.account = account
        self.incarnation = incarnation
        self.revision = revision
        self.wall = wall
        self.grace_end_wall = grace_end_wall
