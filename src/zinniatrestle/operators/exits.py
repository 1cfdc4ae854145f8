"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command; NOT_YET: the condition that it checks does not hold."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_YET = 3
    UNREACHABLE = 4
