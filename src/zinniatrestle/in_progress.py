"""What one host has in progress for each client account."""

from collections import Counter

from zinniatrestle.ids import ClientAccountId, MinionId, Revision

AccountIncarnation = tuple[ClientAccountId, Revision]


class InProgress:
    """Count work in progress and remember which minions an account reached.

    An attempt that was given up counts until the minion would decline it, because
    its bytes may still be under way.
    """

    def __init__(self):
        self.active: Counter[AccountIncarnation] = Counter()
        self.abandoned: dict[AccountIncarnation, float] = {}
        self.reached: dict[ClientAccountId, set[MinionId]] = {}
        self.total = 0

    def enter(self, account: ClientAccountId, incarnation: Revision):
        """Count a piece of work in."""
        self.active[(account, incarnation)] += 1
        self.total += 1

    def leave(self, account: ClientAccountId, incarnation: Revision):
        """Count a piece of work out."""
        key = (account, incarnation)
        self.active[key] -= 1
        self.total -= 1
        if self.active[key] == 0:
            del self.active[key]

    def abandon(self, account: ClientAccountId, incarnation: Revision, start_by: float):
        """Note an attempt without an answer that may start until `start_by`."""
        key = (account, incarnation)
        self.abandoned[key] = max(start_by, self.abandoned.get(key, 0.0))

    def record_reached(self, account: ClientAccountId, minion: MinionId):
        """Remember that an account's bytes went to a minion."""
        self.reached.setdefault(account, set()).add(minion)

    def count(
        self, account: ClientAccountId, incarnation: Revision, now_wall: float
    ) -> int:
        """Return how much of one life of an account may be in progress."""
        key = (account, incarnation)
        return self.active[key] + (self.abandoned.get(key, 0.0) >= now_wall)
