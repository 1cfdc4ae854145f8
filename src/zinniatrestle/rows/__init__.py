"""Versioned rows in tables: what hosts agree on and what must last."""

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
