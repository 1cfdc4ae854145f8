"""Structured log output that never blocks, even if its reader stalls."""

import logging
import logging.handlers
import queue
import sys
import time
from typing import Any

import msgspec
from absl import logging as absl_logging

from zinniatrestle.events.messages import Event

# At about 200 bytes per line, this bounds the buffer for a stalled reader to 2 MB.
BUFFERED_LINES = 10_000
# Repeated refusals are deduplicated to one line per interval, to bound the log volume.
DEDUPLICATION_SECONDS = 1.0
# Reasons that are remembered to count their repetitions.
MAX_REASONS = 1000
# Bounds how long a stalled reader can delay the exit of the process.
CLOSE_TIMEOUT_SECONDS = 0.5


class DroppingHandler(logging.handlers.QueueHandler):
    """Logging handler that drops and counts records when its queue is full."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged: its message is already formatted."""
        return record

    def enqueue(self, record: logging.LogRecord):
        """Queue a record or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class LineWriter(logging.handlers.QueueListener):
    """Queue listener whose `stop` waits only briefly for a stalled reader."""

    def stop(self):
        """Flush the queue and stop the thread, unless the reader has stalled."""
        if self._thread is None:
            return
        try:
            self.queue.put(self._sentinel, timeout=CLOSE_TIMEOUT_SECONDS)
        except queue.Full:
            # The thread is a daemon thread, so it ends with the process.
            return
        self._thread.join(CLOSE_TIMEOUT_SECONDS)
        self._thread = None


class EventLog:
    """Log of one host's events, written to `stream` (default: standard output).

    Nothing is written before `open`. At most `max_lines` lines are buffered.
    """

    def __init__(
        self, host: str = "", stream: Any = None, max_lines: int = BUFFERED_LINES
    ):
        self.host = host
        self.stream = stream
        self.max_lines = max_lines
        self.last_written: dict[tuple[Event, str], tuple[float, int]] = {}
        self.listener: LineWriter | None = None
        self.handler: DroppingHandler | None = None
        self.reported_drops = 0

    def open(self):
        """Start the writer thread and route absl logging through it."""
        lines: queue.Queue = queue.Queue(self.max_lines)
        writer = logging.StreamHandler(self.stream or sys.stdout)
        writer.setFormatter(logging.Formatter("%(message)s"))
        self.handler = DroppingHandler(lines)
        self.listener = LineWriter(lines, writer)
        self.listener.start()
        logger = absl_logging.get_absl_logger()
        logger.handlers = [self.handler]
        logger.propagate = False
        absl_logging.set_verbosity(absl_logging.INFO)

    def close(self):
        """Flush the queue and stop the writer thread."""
        if self.listener is not None:
            self.listener.stop()

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped so far."""
        return self.handler.dropped if self.handler is not None else 0

    def write(self, event: Event, **fields: Any):
        """Write an event with the fields that explain the decision."""
        if self.handler is None:
            return
        if self.dropped != self.reported_drops:
            self.reported_drops = self.dropped
            self._line(Event.LINES_DROPPED, {"dropped": self.dropped})
        self._line(event, fields)

    def write_deduplicated(self, event: Event, reason: str, **fields: Any):
        """Write an event unless its reason was logged within `DEDUPLICATION_SECONDS`.

        The next event written with this reason has the field `omitted`, the number of
        events left out since the last one.
        """
        now = time.monotonic()
        written_at, omitted = self.last_written.get(
            (event, reason), (-DEDUPLICATION_SECONDS, 0)
        )
        if now - written_at < DEDUPLICATION_SECONDS:
            self.last_written[(event, reason)] = (written_at, omitted + 1)
            return
        if len(self.last_written) >= MAX_REASONS:
            # Some of the reasons are texts of others, so there is no end of them.
            self.last_written.clear()
        self.last_written[(event, reason)] = (now, 0)
        self.write(event, reason=reason, omitted=omitted, **fields)

    def _line(self, event: Event, fields: dict[str, Any]):
        line = {
            "at": round(time.time(), 3),
            "host": self.host,
            "event": event.value,
            **fields,
        }
        try:
            text = msgspec.json.encode(line).decode()
        except (ValueError, TypeError, OverflowError, RecursionError) as error:
            # An event must not fail because of its fields.
            reason = f"{type(error).__name__}: {error}"
            line = {key: line[key] for key in ("at", "host", "event")}
            text = msgspec.json.encode({**line, "not_written": reason}).decode()
        absl_logging.info("%s", text)
