"""Counts of closed connections, and their log."""

from zinniatrestle.ingress.interfaces import LimitLog
from zinniatrestle.ingress.listener import IngressCounters
from zinniatrestle.ingress.states import Cause


class LineList(LimitLog):
    def __init__(self):
        self.lines = []

    def write(self, cause, count):
        self.lines.append((cause, count))


# Guards against a flood that fills the log.
def test_a_flood_writes_one_line_in_a_second():
    log = LineList()
    counters = IngressCounters(log)
    for tick in range(40):
        for _ in range(100):
            counters.close(Cause.CONNECTIONS)
        counters.close(Cause.MEMORY)
        counters.write(tick * 0.1)
    assert len(log.lines) == 4
    assert {cause for cause, _ in log.lines} == {Cause.CONNECTIONS}
    counters.write(10.0)
    assert sum(count for _, count in log.lines) == 40 * 101


def test_ordinary_ends_of_connections_write_nothing():
    log = LineList()
    counters = IngressCounters(log)
    for cause in (Cause.IDLE, Cause.ENDED, Cause.MALFORMED):
        counters.close(cause)
    counters.write(10.0)
    assert log.lines == []
    assert counters.closed.total() == 3
