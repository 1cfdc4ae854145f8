"""A write whose answer does not say what happened may have taken effect."""

import asyncio

import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from zinniatrestle.errors import StoreUnavailableError, StoreUncertainError
from zinniatrestle.events import EventLog
from zinniatrestle.ids import HostId, RowKey, RowName, TableName
from zinniatrestle.metrics import Metrics
from zinniatrestle.platform.connections import ConnectionPool
from zinniatrestle.platform.store import PlatformStore
from zinniatrestle.rows import Write
from zinniatrestle.standins.wire import serve_app
from zinniatrestle.store.http import HttpPlatform
from zinniatrestle.store.messages import Put, Transaction

CALL_TIMEOUT_SECONDS = 0.5


async def write_to_table_service(address: str):
    platform = HttpPlatform(f"http://{address}", HostId("host"))
    try:
        await platform.table.commit(Transaction(puts=[Put(RowKey("key"), b"value")]))
    finally:
        await platform.close()


async def write_to_platform_store(address: str):
    client = ConnectionPool()
    store = PlatformStore(client, address, Metrics(), EventLog())
    writes = [Write(TableName("table"), RowName("name"), b"value")]
    try:
        await store.transact([], writes, CALL_TIMEOUT_SECONDS)
    finally:
        await client.close()


# Guards against a write that is reported as not done and takes effect.
@pytest.mark.parametrize("write", [write_to_table_service, write_to_platform_store])
@pytest.mark.parametrize(
    "status, error",
    [
        (500, StoreUncertainError),
        (502, StoreUncertainError),
        (503, StoreUnavailableError),
        (504, StoreUncertainError),
    ],
)
def test_only_status_503_of_a_failed_write_says_that_nothing_was_done(
    write, status, error
):
    async def answer(request):
        return Response(status_code=status)

    async def run():
        app = Starlette(routes=[Route("/{path:path}", answer, methods=["POST"])])
        async with serve_app(app) as address:
            with pytest.raises(error):
                await write(address)

    asyncio.run(run())
