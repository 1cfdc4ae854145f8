"""The platform's services: abstract bases, an embedded form and adapters."""

from zinniatrestle.store.interfaces import (
    HostList,
    ObjectStore,
    Platform,
    TableService,
    Workers,
)

__all__ = ["HostList", "ObjectStore", "Platform", "TableService", "Workers"]
