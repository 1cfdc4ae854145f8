"""Text logs with a fixed prefix for each component."""

from typing import Any

from absl import logging


class ComponentLog:
    """Write log messages prefixed with the name of a component."""

    def __init__(self, component: str):
        self.prefix = f"[{component}] "

    def info(self, message: str, *values: Any):
        """Log an event of normal operation."""
        logging.info(self.prefix + message, *values)

    def warning(self, message: str, *values: Any):
        """Log a condition that an operator may have to look into."""
        logging.warning(self.prefix + message, *values)

    def error(self, message: str, *values: Any):
        """Log a condition that requires an operator's action."""
        logging.error(self.prefix + message, *values)
