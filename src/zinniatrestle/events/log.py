"""Write structured lines without ever waiting for their reader."""

import logging
import logging.handlers
import queue
import sys
import time
from typing import Any

import msgspec
from absl import logging as absl_logging

from zinniatrestle.events.messages import Event

# Lines; at some 200 bytes a line this bounds the memory of a stalled reader to 2 MB.
BUFFERED_LINES = 10_000
# s; repeats of one refusal are folded into one line a second, to bound the volume.
FOLD_SECONDS = 1.0


# s; how long the end of the process waits for a stalled reader of the lines.
CLOSE_SECONDS = 0.5


class DroppingHandler(logging.handlers.QueueHandler):
    """Queue records and count those that find the queue full."""

    def __init__(self, lines: queue.Queue):
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is: messages are finished text."""
        return record

    def enqueue(self, record: logging.LogRecord):
        """Queue a record or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class LineWriter(logging.handlers.QueueListener):
    """Write queued records on a thread that never holds up the end of the process."""

    def stop(self):
        """Write what is queued, unless the reader has stalled."""
        if self._thread is None:
            return
        try:
            self.queue.put(self._sentinel, timeout=CLOSE_SECONDS)
        except queue.Full:
            # The thread is a daemon and ends with the process.
            return
        self._thread.join(CLOSE_SECONDS)
        self._thread = None


class EventLog:
    """Write events of one host; `stream` None writes nothing."""

    def __init__(
        self, host: str = "", stream: Any = None, max_lines: int = BUFFERED_LINES
    ):
        self.host = host
        self.stream = stream
        self.max_lines = max_lines
        self.folded: dict[tuple[Event, str], tuple[float, int]] = {}
        self.listener: LineWriter | None = None
        self.handler: DroppingHandler | None = None
        self.reported = 0

    def open(self):
        """Start the thread that writes the lines."""
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
        """Write what is queued and end the thread."""
        if self.listener is not None:
            self.listener.stop()

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped so far."""
        return self.handler.dropped if self.handler is not None else 0

    def write(self, event: Event, **fields: Any):
        """Write one line with the fields that decided the event."""
        if self.handler is None:
            return
        if self.dropped != self.reported:
            self.reported = self.dropped
            self._line(Event.LINES_DROPPED, {"dropped": self.dropped})
        self._line(event, fields)

    def write_deduplicated(self, event: Event, reason: str, **fields: Any):
        """Write a line unless the same reason was written within the last second.

        The next line that is written says how many were left out.
        """
        now = time.monotonic()
        written_at, omitted = self.folded.get((event, reason), (-FOLD_SECONDS, 0))
        if now - written_at < FOLD_SECONDS:
            self.folded[(event, reason)] = (written_at, omitted + 1)
            return
        self.folded[(event, reason)] = (now, 0)
        self.write(event, reason=reason, omitted=omitted, **fields)

    def _line(self, event: Event, fields: dict[str, Any]):
        line = {
            "at": round(time.time(), 3),
            "host": self.host,
            "event": event.value,
            **fields,
        }
        absl_logging.info("%s", msgspec.json.encode(line).decode())
