"""Run times of queues stay bounded, however many queues come and go."""

import msgspec
from common.scheduling import first_step, job

from zinniatrestle.deployment import StoreLimits
from zinniatrestle.jobs.intake import BASE64_FACTOR
from zinniatrestle.jobs.messages import Step
from zinniatrestle.scheduling.durations import Durations

QUEUES = 5000
SHAPE = Step(estimated_ms=1000)


def learn(durations: Durations, queue: str, seconds: float = 2.0):
    durations.learn(first_step(job("a", SHAPE, queue=queue)).tasks[0], seconds)


# Guards against a lease that can't be renewed since its row is too large.
def test_the_run_times_of_many_queues_fit_into_a_row():
    durations = Durations()
    for number in range(QUEUES):
        learn(durations, f"queue-{number:04}-of-a-client-account")
    encoded = msgspec.msgpack.encode(durations.export())
    assert len(encoded) * BASE64_FACTOR < StoreLimits().row_bytes / 2


def test_the_queues_in_use_are_kept():
    durations = Durations()
    for number in range(QUEUES):
        learn(durations, "steady", 7.0)
        learn(durations, f"queue-{number}")
    restored = Durations()
    restored.restore(durations.export())
    for known in (durations, restored):
        assert known.expected_seconds("steady", Step()) == 7.0
        assert known.expected_seconds(f"queue-{QUEUES - 1}", Step()) == 2.0
        assert "queue-0" not in known.queues
