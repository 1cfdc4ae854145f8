"""A store of versioned rows in tables, with transactions and feeds of changes."""

from zinniatrestle.rows.interfaces import RowStore
from zinniatrestle.rows.messages import (
    ABSENT,
    Change,
    Changes,
    Expect,
    Page,
    StoredRow,
    TransactionResult,
    Write,
)

__all__ = [
    "ABSENT",
    "Change",
    "Changes",
    "Expect",
    "Page",
    "RowStore",
    "StoredRow",
    "TransactionResult",
    "Write",
]
