"""Contract tests of each service, in memory and over HTTP with the stand-in."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from common.ports import ADDRESS, PortReservations
from common.processes import ProcessCluster

from zinniatrestle.clock import LoopClock, SystemClock
from zinniatrestle.errors import (
    ResultCode,
    StoreUnavailableError,
    StoreUncertainError,
    WorkerError,
)
from zinniatrestle.ids import FailureDomainId, HostId, RowKey
from zinniatrestle.standins.faults import FaultyPlatform
from zinniatrestle.standins.messages import PlatformFaults
from zinniatrestle.standins.site import worker_list
from zinniatrestle.store.embedded import EmbeddedPlatform
from zinniatrestle.store.http import HttpPlatform
from zinniatrestle.store.messages import (
    ABSENT,
    Check,
    LeaseState,
    Put,
    Renew,
    Renewal,
    Reserve,
    Start,
    Stop,
    Transaction,
)
from zinniatrestle.store.state import WorkerState

DOMAIN = FailureDomainId("lima")
WORKER = "lima-worker-0"
A, B = RowKey("a"), RowKey("b")
# A wall time in seconds that no test reaches.
FAR_FUTURE = 9e9


class PlatformUnderTest:
    """A platform and a function that sets its faults."""

    def __init__(self, platform, set_faults):
        self.platform = platform
        self.set_faults = set_faults


@asynccontextmanager
async def embedded():
    faults = PlatformFaults()
    inner = EmbeddedPlatform(worker_list(DOMAIN, 2, ""), SystemClock())

    async def set_faults(**wanted):
        for name, value in wanted.items():
            setattr(faults, name, value)

    yield PlatformUnderTest(FaultyPlatform(inner, faults, "lima-1"), set_faults)


@asynccontextmanager
async def stand_in():
    async with ProcessCluster(["lima"], hosts=0, minions=0, workers=2) as cluster:
        platform = HttpPlatform(cluster.platform_url, HostId("lima-1"))
        try:
            yield PlatformUnderTest(platform, cluster.set_platform_faults)
        finally:
            await platform.close()


@pytest.fixture(params=[embedded, stand_in], ids=["embedded", "stand-in"])
def open_platform(request):
    return request.param


def test_transactions_are_atomic(open_platform):
    async def scenario():
        async with open_platform() as subject:
            table = subject.platform.table
            create = Transaction([Check(A, ABSENT)], [Put(A, b"1"), Put(B, b"1")])
            assert (await table.commit(create)).committed
            again = await table.commit(create)
            assert not again.committed and again.failed == [A]
            bad = Transaction([Check(A, 1), Check(B, 7)], [Put(A, b"2")], [B])
            assert (await table.commit(bad)).failed == [B]
            rows = await table.read([A, B, RowKey("c")])
            assert [(row.version, row.value) for row in rows.values()] == [
                (1, b"1"),
                (1, b"1"),
            ]
            change = Transaction([Check(A, 1)], [Put(A, b"2")], [B])
            assert (await table.commit(change)).committed
            rows = await table.read([A, B])
            assert list(rows) == [A] and rows[A].version == 2

    asyncio.run(scenario())


def test_scans_are_ordered_and_paged(open_platform):
    async def scenario():
        async with open_platform() as subject:
            table = subject.platform.table
            puts = [Put(RowKey(f"p/{number}"), b"") for number in (3, 1, 2)]
            await table.commit(Transaction(puts=[*puts, Put(RowKey("q"), b"")]))
            first = await table.scan("p/", RowKey(""), 2)
            assert [row.key for row in first] == ["p/1", "p/2"]
            rest = await table.scan("p/", first[-1].key, 2)
            assert [row.key for row in rest] == ["p/3"]

    asyncio.run(scenario())


def test_objects_are_written_once(open_platform):
    async def scenario():
        async with open_platform() as subject:
            objects = subject.platform.objects
            assert await objects.get("x/y") is None
            assert await objects.put_if_absent("x/y", b"one")
            assert not await objects.put_if_absent("x/y", b"two")
            assert await objects.get("x/y") == b"one"

    asyncio.run(scenario())


FAULTS = [
    ({"outage": True}, StoreUnavailableError, False),
    ({"cut_hosts": ["lima-1"]}, StoreUnavailableError, False),
    ({"lose_answers": True}, StoreUncertainError, True),
]


@pytest.mark.parametrize(
    ("faults", "error", "applied"), FAULTS, ids=["outage", "cut", "lost answer"]
)
def test_error_shows_whether_a_write_may_have_taken_effect(
    open_platform, faults, error, applied
):
    async def scenario():
        async with open_platform() as subject:
            platform = subject.platform
            await subject.set_faults(**faults)
            with pytest.raises(error):
                await platform.table.commit(Transaction(puts=[Put(A, b"1")]))
            with pytest.raises(error):
                await platform.objects.put_if_absent("x", b"1")
            await subject.set_faults(outage=False, cut_hosts=[], lose_answers=False)
            rows = await platform.table.read([A])
            assert (A in rows) == applied

    asyncio.run(scenario())


def reserve(attempt: str, epoch: int = 1, start_by: float = FAR_FUTURE) -> Reserve:
    return Reserve(
        job="j",
        attempt=attempt,
        account="norte",
        incarnation=2,
        epoch=epoch,
        accelerators=[0, 1],
        start_by=start_by,
        expires=FAR_FUTURE,
        cores=2.0,
        memory_gb=2.0,
    )


def test_worker_runs_reports_and_stops_a_task(open_platform):
    async def scenario():
        async with open_platform() as subject:
            workers = subject.platform.workers
            await workers.reserve(WORKER, reserve("one"))
            await workers.reserve(WORKER, reserve("one"))
            start = Start(
                "j", "one", 1, FAR_FUTURE, FAR_FUTURE, ["sleep", "60"], progress=5.0
            )
            await workers.start(WORKER, start)
            renewal = Renewal("one", FAR_FUTURE, checkpoint=True)
            report = await workers.renew(WORKER, Renew([renewal], 1))
            assert [lease.state for lease in report.leases] == [LeaseState.RUNNING]
            assert report.leases[0].checkpointed >= 5.0
            progress = await workers.stop(WORKER, Stop("one", 1, checkpoint=True))
            assert progress >= 5.0
            assert (await workers.report(WORKER)).leases == []

    asyncio.run(scenario())


REFUSALS = [
    (reserve("two"), ResultCode.WORKER_BUSY),
    (reserve("two", epoch=0), ResultCode.STALE_EPOCH),
    (reserve("two", start_by=1.0), ResultCode.START_TOO_LATE),
    (
        Start("j", "none", 1, FAR_FUTURE, FAR_FUTURE, ["sleep", "1"]),
        ResultCode.JOB_ENDED,
    ),
    (Start("j", "one", 1, 1.0, FAR_FUTURE, ["sleep", "1"]), ResultCode.START_TOO_LATE),
]


def test_worker_refuses_late_stale_and_conflicting_commands(open_platform):
    async def scenario():
        async with open_platform() as subject:
            workers = subject.platform.workers
            await workers.reserve(WORKER, reserve("one"))
            for command, code in REFUSALS:
                send = workers.reserve
                if isinstance(command, Start):
                    send = workers.start
                with pytest.raises(WorkerError) as caught:
                    await send(WORKER, command)
                assert caught.value.code is code
            await workers.stop(WORKER, Stop("one", 1))
            with pytest.raises(WorkerError) as caught:
                await workers.reserve(WORKER, reserve("one"))
            assert caught.value.code is ResultCode.JOB_ENDED

    asyncio.run(scenario())


def test_unknown_worker_is_unreachable(open_platform):
    async def scenario():
        async with open_platform() as subject:
            with pytest.raises(WorkerError):
                await subject.platform.workers.report("nobody")

    asyncio.run(scenario())


def test_clock_advancing_between_readings_expires_no_renewal():
    """Guards against comparing the clock with an earlier reading of itself.

    Such a check fails as soon as the clock advances between the two readings.
    """

    async def scenario():
        clock = LoopClock()
        readings = iter(range(10**6))
        clock.wall = lambda: float(next(readings))
        state = WorkerState(worker_list(DOMAIN, 1, "")[0], clock)
        assert state.renew(Renew([], 1)).leases == []
        assert state.stop(Stop("none", 1)) == 0.0

    asyncio.run(scenario())


def test_unreachable_platform_is_unavailable():
    async def scenario():
        with PortReservations() as ports:
            port = ports.reserve()
            platform = HttpPlatform(f"http://{ADDRESS}:{port}", HostId("lima-1"))
            with pytest.raises(StoreUnavailableError):
                await platform.table.commit(Transaction(puts=[Put(A, b"1")]))
            await platform.close()

    asyncio.run(scenario())
