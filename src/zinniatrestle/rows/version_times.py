"""Times before which versions of the store were not written."""

from collections import deque

from zinniatrestle.ids import BootSeconds, RowVersion

# Answers sent closer together than this bound the times of versions equally well.
MIN_INTERVAL_SECONDS = 0.05
MAX_ANSWERS = 256


class VersionTimes:
    """The newest versions in the answers to this host's transactions.

    Such an answer reflects all writes before the call. That of a feed does not: a feed
    may tell of a change long after it was made.
    """

    def __init__(self):
        # When the calls were sent, and the versions in the answers, both ascending.
        self.answers: deque[tuple[BootSeconds, RowVersion]] = deque(maxlen=MAX_ANSWERS)

    def observe(self, version: RowVersion, sent_at: BootSeconds):
        """Record the store's newest version at some moment after `sent_at`."""
        if not version:
            return
        if self.answers:
            last_sent_at, last_version = self.answers[-1]
            if sent_at < last_sent_at + MIN_INTERVAL_SECONDS or version < last_version:
                return
        self.answers.append((sent_at, version))

    def written_after(self, version: RowVersion) -> BootSeconds:
        """Return a time before which a version was not written, or minus infinity."""
        for sent_at, newest in reversed(self.answers):
            if newest < version:
                return sent_at
        return BootSeconds(float("-inf"))
