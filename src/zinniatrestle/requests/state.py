"""What one host has in progress for each client account."""

from collections import Counter

from zinniatrestle.ids import ClientAccountId, MinionId, Revision

AccountLife = tuple[ClientAccountId, Revision]


class InProgress:
    """Count requests in progress and remember which minions an account reached."""

    def __init__(self):
        self.requests: Counter[AccountLife] = Counter()
        self.reached: dict[ClientAccountId, set[MinionId]] = {}
        self.total = 0

    def enter(self, account: ClientAccountId, incarnation: Revision):
        """Count a request in."""
        self.requests[(account, incarnation)] += 1
        self.total += 1

    def leave(self, account: ClientAccountId, incarnation: Revision):
        """Count a request out."""
        life = (account, incarnation)
        self.requests[life] -= 1
        self.total -= 1
        if self.requests[life] == 0:
            del self.requests[life]

    def reach(self, account: ClientAccountId, minion: MinionId):
        """Remember that an account's bytes went to a minion."""
        self.reached.setdefault(account, set()).add(minion)

    def count(self, account: ClientAccountId, incarnation: Revision) -> int:
        """Return how many requests of one life of an account are in progress."""
        return self.requests[(account, incarnation)]
