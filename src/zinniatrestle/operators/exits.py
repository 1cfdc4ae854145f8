"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_YET = 3
    UNREACHABLE = 4
