"""Abstract base of the background tasks of the scheduling host."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zinniatrestle.scheduling.cluster_state import ClusterState


class LeaderTask(ABC):
    """A background task beside the rounds, restarted with each generation.

    `name` is for its lines of log.
    """

    name: str

    @abstractmethod
    async def run(self, cluster: "ClusterState"):
        """Run the task until cancelled."""
