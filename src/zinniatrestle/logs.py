"""Logs with a fixed prefix for each part."""

from typing import Any

from absl import logging


class ComponentLog:
    """Write short sentences behind the prefix of one part."""

    def __init__(self, part: str):
        self.prefix = f"[{part}] "

    def info(self, sentence: str, *values: Any):
        """Write what happened in the ordinary course."""
        logging.info(self.prefix + sentence, *values)

    def warning(self, sentence: str, *values: Any):
        """Write what an operator may have to look at."""
        logging.warning(self.prefix + sentence, *values)

    def error(self, sentence: str, *values: Any):
        """Write what needs an operator."""
        logging.error(self.prefix + sentence, *values)
