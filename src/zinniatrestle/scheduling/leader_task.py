"""Abstract base of other duties that the host has which schedules."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zinniatrestle.scheduling.cluster_state import ClusterState


class LeaderTask(ABC):
    """A duty beside the rounds; it begins anew with each generation."""

    @abstractmethod
    async def run(self, cluster: "ClusterState"):
        """Do the duty until cancelled."""
