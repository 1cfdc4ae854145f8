"""Lines are JSON, never block the service, and repeats are folded."""

import io
import threading

import msgspec
import pytest

from zinniatrestle.events import Event, EventLog
from zinniatrestle.events.log import BUFFERED_LINES


class StalledStream(io.StringIO):
    """A stream whose reader has stopped reading."""

    def __init__(self):
        super().__init__()
        self.reading = threading.Event()

    def write(self, text):
        self.reading.wait()
        return super().write(text)


@pytest.fixture
def opened():
    logs = []

    def make(stream):
        log = EventLog("host-1", stream)
        log.open()
        logs.append(log)
        return log

    yield make
    for log in logs:
        log.close()


def lines(stream):
    return [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]


def test_a_line_tells_host_time_event_and_fields(opened):
    stream = io.StringIO()
    log = opened(stream)
    log.write(Event.JOB_ACCEPTED, job="a", tasks=2)
    log.close()
    (line,) = lines(stream)
    assert line["host"] == "host-1"
    assert line["event"] == "job_accepted"
    assert (line["job"], line["tasks"]) == ("a", 2)
    assert line["at"] > 0


def test_repeats_of_one_reason_are_folded_with_a_count(opened, monkeypatch):
    stream = io.StringIO()
    log = opened(stream)
    now = [100.0]
    monkeypatch.setattr("zinniatrestle.events.log.time.monotonic", lambda: now[0])
    for _ in range(5):
        log.write_deduplicated(Event.REQUEST_REFUSED, "busy")
    log.write_deduplicated(Event.REQUEST_REFUSED, "other")
    now[0] += 2.0
    log.write_deduplicated(Event.REQUEST_REFUSED, "busy")
    log.close()
    told = [(line["reason"], line["omitted"]) for line in lines(stream)]
    assert told == [("busy", 0), ("other", 0), ("busy", 4)]


def test_a_reader_that_stalls_costs_lines_and_not_service(opened):
    stream = StalledStream()
    log = opened(stream)
    for number in range(BUFFERED_LINES + 500):
        log.write(Event.RUN_PLACED, run=number)
    assert log.dropped > 0
    stream.reading.set()
    log.close()
    assert len(lines(stream)) <= BUFFERED_LINES + 2


def test_dropped_lines_are_told(opened):
    stream = StalledStream()
    log = opened(stream)
    while not log.dropped:
        log.write(Event.RUN_PLACED)
    stream.reading.set()
    while not log.handler.queue.empty():
        pass
    log.write(Event.STOPPED)
    log.close()
    assert "lines_dropped" in {line["event"] for line in lines(stream)}
