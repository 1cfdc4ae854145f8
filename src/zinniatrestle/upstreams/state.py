"""What a host knows of one minion."""

from collections import deque
from enum import Enum

from zinniatrestle.clock import monotonic
from zinniatrestle.upstreams.messages import MinionAddress

OUTCOMES_KEPT = 20
OUTCOMES_NEEDED = 5
FAILURE_SHARE = 0.5
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 30.0
DECLINED_SECONDS = 0.05
# The platform's list lags, so a minion that said it leaves is believed for longer.
LEAVING_SECONDS = 60.0


class MinionState(Enum):
    """States of a minion as this host sees it."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    LEAVING = "leaving"


class Minion:
    """Count what a minion holds for this host and judge its health."""

    def __init__(self, address: MinionAddress):
        self.address = address
        self.state = MinionState.HEALTHY
        self.in_use = 0
        self.limit = 0
        self.outcomes: deque[bool] = deque(maxlen=OUTCOMES_KEPT)
        self.ejections = 0
        self.ejected_until = 0.0
        self.declined_until = 0.0
        self.leaving_at = 0.0
        self.leaving_observed = False

    def mark_leaving(self, observed: bool):
        """Note that the minion is leaving."""
        self.state = MinionState.LEAVING
        self.leaving_at = monotonic()
        self.leaving_observed = self.leaving_observed or observed

    def expire_leaving(self):
        """Probe a minion that left long ago and is still listed as live."""
        if self.state is not MinionState.LEAVING:
            return
        if monotonic() - self.leaving_at < LEAVING_SECONDS:
            return
        self.state = MinionState.PROBING
        self.leaving_observed = False

    def usable(self) -> bool:
        """Tell whether a request may be sent to it now."""
        self.expire_ejection()
        if self.state in (MinionState.LEAVING, MinionState.EJECTED):
            return False
        if self.state is MinionState.PROBING:
            return self.in_use == 0
        return self.in_use < self.limit and monotonic() >= self.declined_until

    def expire_ejection(self):
        """Let an ejected minion take a canary once its time is up."""
        if self.state is not MinionState.EJECTED:
            return
        if monotonic() >= self.ejected_until:
            self.state = MinionState.PROBING

    def record_success(self):
        """Note a good answer."""
        self.outcomes.append(True)
        if self.state is MinionState.PROBING:
            self.state = MinionState.HEALTHY
            self.ejections = 0
            self.outcomes.clear()

    def record_failure(self, may_eject: bool):
        """Note a failure and eject when failures prevail."""
        self.outcomes.append(False)
        if self.state is MinionState.PROBING:
            self._eject()
            return
        failures = self.outcomes.count(False)
        enough = len(self.outcomes) >= OUTCOMES_NEEDED
        if not enough or failures < FAILURE_SHARE * len(self.outcomes):
            return
        if self.state is MinionState.HEALTHY and may_eject:
            self._eject()

    def record_declined(self):
        """Leave a minion alone for a moment after it declined."""
        self.declined_until = monotonic() + DECLINED_SECONDS

    def _eject(self):
        self.state = MinionState.EJECTED
        seconds = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejected_until = monotonic() + min(seconds, LONGEST_EJECTION_SECONDS)
        self.ejections += 1
        self.outcomes.clear()
