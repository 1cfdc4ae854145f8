"""Run coroutines in virtual time: deterministic, and without real waiting."""

import random
from collections.abc import Coroutine
from typing import Any
from unittest import mock

from zinniatrestle.standins.model import run_virtual

SEED = 1


class SeededTokens:
    """Source of tokens that gives the same ids in each run, since ids break ties."""

    def __init__(self):
        self.random = random.Random(SEED)

    def token_hex(self, size: int) -> str:
        """Return the next token."""
        return self.random.randbytes(size).hex()


def run(coroutine: Coroutine) -> Any:
    """Run a coroutine on an event loop whose clock jumps to the next timer."""
    with mock.patch("zinniatrestle.ids.secrets", SeededTokens()):
        return run_virtual(coroutine)
