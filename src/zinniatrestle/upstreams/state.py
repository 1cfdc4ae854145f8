"""State and health of one minion, as seen by one host."""

from collections import deque
from enum import Enum

from zinniatrestle.clock import monotonic
from zinniatrestle.upstreams.messages import MinionAddress

# A minion is ejected if at least FAILURE_SHARE of its last OUTCOME_WINDOW outcomes are
# failures, but not before it has MIN_OUTCOMES.
OUTCOME_WINDOW = 20
MIN_OUTCOMES = 5
FAILURE_SHARE = 0.5
# The duration of an ejection doubles each time until a canary request succeeds.
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
DECLINED_PAUSE_SECONDS = 0.05
# How long a minion's own report that it leaves overrides the platform's list, which
# may be stale.
LEAVING_SECONDS = 60.0


class MinionState(Enum):
    """State of a minion as seen by this host.

    EJECTED: gets no requests because of failures. PROBING: gets one request at a time
    until one succeeds. LEAVING: shuts down and gets no new requests.
    """

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    LEAVING = "leaving"


class Minion:
    """Slots in use on a minion and its health, by passive outlier detection.

    `limit` is the number of its slots that this host may use; times are in monotonic
    seconds.
    """

    def __init__(self, address: MinionAddress):
        self.address = address
        self.state = MinionState.HEALTHY
        self.in_use = 0
        self.limit = 0
        self.outcomes: deque[bool] = deque(maxlen=OUTCOME_WINDOW)
        self.ejections = 0
        self.ejected_until = 0.0
        self.declined_until = 0.0
        self.leaving_at = 0.0
        self.leaving_observed = False

    def mark_leaving(self, observed: bool):
        """Mark the minion as leaving; `observed` if this host saw it itself."""
        self.state = MinionState.LEAVING
        self.leaving_at = monotonic()
        self.leaving_observed = self.leaving_observed or observed

    def expire_leaving(self):
        """Probe a leaving minion that is still listed as live after LEAVING_SECONDS."""
        if self.state is not MinionState.LEAVING:
            return
        if monotonic() - self.leaving_at < LEAVING_SECONDS:
            return
        self.state = MinionState.PROBING
        self.leaving_observed = False

    def usable(self) -> bool:
        """Return whether a request may be sent to the minion now."""
        self.expire_ejection()
        if self.state in (MinionState.LEAVING, MinionState.EJECTED):
            return False
        if self.state is MinionState.PROBING:
            return self.in_use == 0
        return self.in_use < self.limit and monotonic() >= self.declined_until

    def expire_ejection(self):
        """Let an ejected minion get a canary request once its ejection has expired."""
        if self.state is not MinionState.EJECTED:
            return
        if monotonic() >= self.ejected_until:
            self.state = MinionState.PROBING

    def record_success(self):
        """Record a success; it ends the probing of a minion."""
        self.outcomes.append(True)
        if self.state is MinionState.PROBING:
            self.state = MinionState.HEALTHY
            self.ejections = 0
            self.outcomes.clear()

    def record_failure(self, may_eject: bool):
        """Record a failure; ejects the minion if its share of failures is too high."""
        self.outcomes.append(False)
        if self.state is MinionState.PROBING:
            self._eject()
            return
        failures = self.outcomes.count(False)
        enough_outcomes = len(self.outcomes) >= MIN_OUTCOMES
        if not enough_outcomes or failures < FAILURE_SHARE * len(self.outcomes):
            return
        if self.state is MinionState.HEALTHY and may_eject:
            self._eject()

    def record_declined(self):
        """Send nothing to the minion for DECLINED_PAUSE_SECONDS after it declined."""
        self.declined_until = monotonic() + DECLINED_PAUSE_SECONDS

    def _eject(self):
        self.state = MinionState.EJECTED
        seconds = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejected_until = monotonic() + min(seconds, MAX_EJECTION_SECONDS)
        self.ejections += 1
        self.outcomes.clear()
