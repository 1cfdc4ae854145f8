"""Find out whether a commit with a lost answer took effect; read pages of rows."""

from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.ids import RowKey
from zinniatrestle.store.interfaces import TableService
from zinniatrestle.store.messages import Commit, Transaction

READ_BACK_TRIES = 3


async def commit_with_read_back(
    table: TableService, transaction: Transaction
) -> Commit:
    """Commit a transaction, and read back its first put if the answer is lost.

    The first put must have a value that no other writer writes, such as one with an
    attempt id or an operation token. Raises StoreUncertainError if the row can't be
    read.
    """
    try:
        return await table.commit(transaction)
    except StoreUncertainError:
        marker = transaction.puts[0]
    for _ in range(READ_BACK_TRIES):
        try:
            rows = await table.read([marker.key])
        except StoreUnavailableError:
            continue
        row = rows.get(marker.key)
        if row is not None and row.value == marker.value:
            return Commit(committed=True)
        return Commit(committed=False, failed=[marker.key])
    raise StoreUncertainError(
        "The answer to a write was lost and reading it back failed; try again later."
    )


async def scan_all(table: TableService, prefix: str, page: int = 500) -> list:
    """Return all rows under `prefix`, read in pages of `page` rows."""
    rows = []
    after = RowKey("")
    while True:
        page_rows = await table.scan(prefix, after, page)
        rows.extend(page_rows)
        if len(page_rows) < page:
            return rows
        after = page_rows[-1].key
