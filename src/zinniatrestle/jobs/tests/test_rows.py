"""Rows of jobs: encoding round trips, and the size limit of the store."""

import asyncio

import pytest

from zinniatrestle.clock import monotonic
from zinniatrestle.deployment import Addresses, Deployment, Identity, StoreLimits
from zinniatrestle.errors import CallerError, ResultCode
from zinniatrestle.events import EventLog
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    HostId,
    InstanceId,
    JobId,
    RegionId,
    RunNumber,
    WorkerId,
)
from zinniatrestle.jobs import JobIntake, JobProgress, JobState, Step, TaskProgress
from zinniatrestle.jobs.intake import BASE64_FACTOR, MAX_TASKS, JobRequest
from zinniatrestle.jobs.messages import (
    PROGRESS,
    decode_progress,
    encode_progress,
    row_name,
)
from zinniatrestle.queues import Queue
from zinniatrestle.standins.rows import HostRows, MemoryRows

JOB = JobId("00000000000000aa")
QUEUE = Queue("usual", "queues.example", "/usual/", "service")


def largest_progress() -> JobProgress:
    """Return the progress of a job with the most tasks allowed, each of full size."""
    tasks = {}
    for index in range(MAX_TASKS):
        tasks[f"7.0.{index}"] = TaskProgress(
            RunNumber(300),
            WorkerId(f"i-{index % 400:010x}"),
            InstanceId(1_800_000_000_000 + index % 400),
            (RunNumber(298), RunNumber(299)),
            f"{index:016x}",
        )
    return JobProgress(
        JobState.RUNNING,
        QUEUE.name,
        finished_before=7,
        finished=["8.0"],
        tasks=tasks,
    )


@pytest.mark.parametrize(
    "progress",
    [
        JobProgress(),
        JobProgress(JobState.COMPLETED, QUEUE.name, True, 5, 3, ["3.0", "4.1"]),
        JobProgress(
            tasks={
                "0.0.0": TaskProgress(RunNumber(1), WorkerId("w"), InstanceId(9)),
                "0.0.11": TaskProgress(RunNumber(2), failed_runs=(RunNumber(1),)),
                "0.1.0": TaskProgress(RunNumber(1), checkpoint="c", done=True),
            }
        ),
        largest_progress(),
    ],
)
def test_progress_survives_a_round_trip(progress):
    assert decode_progress(encode_progress(progress)) == progress


def test_the_progress_of_the_largest_job_fits_into_a_row():
    sent = len(encode_progress(largest_progress())) * BASE64_FACTOR
    assert sent <= StoreLimits().row_bytes


def rows_after_accept(job_request: JobRequest, row_bytes: int) -> MemoryRows:
    rows = MemoryRows()

    async def accept():
        identity = Identity(
            HostId("h"), "127.0.0.1", FailureDomainId("a"), RegionId("r")
        )
        deployment = Deployment(
            identity, Addresses("", "", ""), store=StoreLimits(row_bytes=row_bytes)
        )
        intake = JobIntake(HostRows(rows), EventLog(), deployment)
        await intake.accept(
            JOB, job_request, QUEUE, ClientAccountId("a"), monotonic() + 3
        )

    asyncio.run(accept())
    return rows


def test_a_job_too_large_for_a_row_is_refused():
    job_request = JobRequest("x", (Step(label="l" * 60),) * 100)
    assert (
        rows_after_accept(job_request, 65_536).row(PROGRESS, row_name(JOB)) is not None
    )
    with pytest.raises(CallerError) as caught:
        rows_after_accept(job_request, 4096)
    assert caught.value.code is ResultCode.TOO_LARGE
