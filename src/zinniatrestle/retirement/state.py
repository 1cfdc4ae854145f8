"""State of a proof in progress."""

from zinniatrestle.ids import ClientAccountId, Revision
from zinniatrestle.retirement.messages import ClosedPart, OpenPart


class Findings:
    """Closed and open parts found so far."""

    def __init__(self):
        self.closed: list[ClosedPart] = []
        self.open: list[OpenPart] = []


class RetiredIncarnation:
    """The retired incarnation of an account whose end is to be proven.

    `revision` and `wall` (in seconds) are those of the account's retirement. A host
    that can't confirm its configuration serves the account until `grace_end_wall` at
    the latest (wall seconds).
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
