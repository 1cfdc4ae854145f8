"""Services of the platform: abstract base classes, in-memory and HTTP versions."""

from zinniatrestle.store.interfaces import (
    HostList,
    ObjectStore,
    Platform,
    TableService,
    Workers,
)

__all__ = ["HostList", "ObjectStore", "Platform", "TableService", "Workers"]
