"""Log lines are JSON, writing them never blocks, and repeats are deduplicated."""

import io
import threading

import msgspec
import pytest

import zinniatrestle.events.log as log_module
from zinniatrestle.events import Event, EventLog, RejectionLog
from zinniatrestle.events.log import BUFFERED_LINES, MAX_REASONS


class StalledStream(io.StringIO):
    """A stream whose reader has stalled: writes block until `reading` is set."""

    def __init__(self):
        super().__init__()
        self.reading = threading.Event()

    def write(self, text):
        self.reading.wait()
        return super().write(text)


@pytest.fixture
def open_log():
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


def test_line_has_host_time_event_and_fields(open_log):
    stream = io.StringIO()
    log = open_log(stream)
    log.write(Event.JOB_ACCEPTED, job="a", tasks=2)
    log.close()
    (line,) = lines(stream)
    assert line["host"] == "host-1"
    assert line["event"] == "job_accepted"
    assert (line["job"], line["tasks"]) == ("a", 2)
    assert line["at"] > 0


def test_repeats_of_a_reason_are_deduplicated_and_counted(open_log, monkeypatch):
    stream = io.StringIO()
    log = open_log(stream)
    now = [100.0]
    monkeypatch.setattr(log_module.time, "monotonic", lambda: now[0])
    for _ in range(5):
        log.write_deduplicated(Event.REQUEST_REFUSED, "busy")
    log.write_deduplicated(Event.REQUEST_REFUSED, "other")
    now[0] += 2.0
    log.write_deduplicated(Event.REQUEST_REFUSED, "busy")
    log.close()
    written = [(line["reason"], line["omitted"]) for line in lines(stream)]
    assert written == [("busy", 0), ("other", 0), ("busy", 4)]


def test_stalled_reader_drops_lines_without_blocking(open_log):
    stream = StalledStream()
    log = open_log(stream)
    for number in range(BUFFERED_LINES + 500):
        log.write(Event.RUN_PLACED, run=number)
    assert log.dropped > 0
    stream.reading.set()
    log.close()
    assert len(lines(stream)) <= BUFFERED_LINES + 2


def test_dropped_lines_are_logged(open_log):
    stream = StalledStream()
    log = open_log(stream)
    while not log.dropped:
        log.write(Event.RUN_PLACED)
    stream.reading.set()
    while not log.handler.queue.empty():
        pass
    log.write(Event.STOPPED)
    log.close()
    assert "lines_dropped" in {line["event"] for line in lines(stream)}


# Guards against a decision that its own line of log ends.
@pytest.mark.parametrize("value", ["\ud800", object(), {1.5: object()}])
def test_a_field_that_cannot_be_written_leaves_the_event(open_log, value):
    stream = io.StringIO()
    log = open_log(stream)
    log.write(Event.JOB_ACCEPTED, job=value)
    log.close()
    (line,) = lines(stream)
    assert line["event"] == "job_accepted"
    assert line["not_written"]


def test_the_reasons_that_are_remembered_are_bounded(open_log):
    log = open_log(io.StringIO())
    for number in range(3 * MAX_REASONS):
        log.write_deduplicated(Event.REQUEST_REFUSED, f"reason {number}")
    assert len(log.last_written) <= MAX_REASONS


def test_rejected_input_is_logged_once_for_each_reason(open_log):
    stream = io.StringIO()
    log = open_log(stream)
    rejections = RejectionLog(log, "table t")
    for reason in ("a", "a", "b", "b", "a"):
        rejections.reject("row", reason)
    rejections.reject("other", "a")
    rejections.retain({"row"})
    rejections.reject("other", "a")
    rejections.accept("row")
    rejections.reject("row", "a")
    log.close()
    found = [(line["source"], line["name"], line["reason"]) for line in lines(stream)]
    assert found == [
        ("table t", "row", "a"),
        ("table t", "row", "b"),
        ("table t", "row", "a"),
        ("table t", "other", "a"),
        ("table t", "other", "a"),
        ("table t", "row", "a"),
    ]
