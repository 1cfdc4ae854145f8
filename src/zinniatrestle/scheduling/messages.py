"""What a scheduling host leaves for all others to read."""

import msgspec

from zinniatrestle.ids import Generation, HostId, QueueName


class LearnedTimes(msgspec.Struct, frozen=True, array_like=True):
    """Run times of one queue: how many, their mean (s), and the mean errors."""

    count: int
    seconds: float
    estimate_error: float
    mean_error: float


class LeaseRecord(msgspec.Struct, frozen=True):
    """Who schedules, until when by the store's clock, what waits and what is known."""

    holder: HostId
    address: str
    until: float
    generation: Generation
    written_at: float
    pending: dict[QueueName, int] = {}
    learned: dict[QueueName, LearnedTimes] = {}
