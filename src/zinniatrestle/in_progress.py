"""Work that one host has in progress, by client account."""

from collections import Counter

from zinniatrestle.ids import ClientAccountId, MinionId, Revision

AccountIncarnation = tuple[ClientAccountId, Revision]


class InProgress:
    """Count work in progress and record which minions each account's requests reached.

    An abandoned attempt counts as in progress until its `start_by` has passed. Until
    then its bytes may still arrive, and the receiver would start it; after that, the
    receiver declines it.
    """

    def __init__(self):
        self.active: Counter[AccountIncarnation] = Counter()
        self.abandoned: dict[AccountIncarnation, float] = {}
        self.reached: dict[ClientAccountId, set[MinionId]] = {}
        self.total = 0

    def enter(self, account: ClientAccountId, incarnation: Revision):
        """Increment the count of work in progress."""
        self.active[(account, incarnation)] += 1
        self.total += 1

    def leave(self, account: ClientAccountId, incarnation: Revision):
        """Decrement the count of work in progress."""
        key = (account, incarnation)
        self.active[key] -= 1
        self.total -= 1
        if self.active[key] == 0:
            del self.active[key]

    def abandon(self, account: ClientAccountId, incarnation: Revision, start_by: float):
        """Record an unanswered attempt that may start until `start_by` (wall time)."""
        key = (account, incarnation)
        self.abandoned[key] = max(start_by, self.abandoned.get(key, 0.0))

    def record_reached(self, account: ClientAccountId, minion: MinionId):
        """Record that a request of an account was sent to a minion."""
        self.reached.setdefault(account, set()).add(minion)

    def count(
        self, account: ClientAccountId, incarnation: Revision, now_wall: float
    ) -> int:
        """Return how many pieces of an incarnation's work may be in progress.

        All of its abandoned attempts together count as one.
        """
        key = (account, incarnation)
        return self.active[key] + (self.abandoned.get(key, 0.0) >= now_wall)
