"""The lifecycle of an account on real processes: three domains, two hosts each."""

import asyncio

from common.processes import ProcessCluster, eventually
from common.templates import (
    apply_account,
    example_plan,
    send_at_most_once,
    send_repeatable,
)

from zinniatrestle.configuration.messages import (
    DomainState,
    RetireAccount,
    SetDomain,
)
from zinniatrestle.errors import ResultCode
from zinniatrestle.gangs.messages import JobRow, JobSpec, JobState, TaskShape
from zinniatrestle.retirement.messages import Basis

DOMAINS = ["lima", "arequipa", "trujillo"]
GANG = JobSpec(
    tasks=4,
    command=["sleep", "1"],
    shape=TaskShape(accelerators=8, cores=8.0, memory_gb=16.0),
)


def test_account_lifecycle_from_template_to_certificate():
    asyncio.run(run_account_lifecycle())


async def run_account_lifecycle():
    async with ProcessCluster(DOMAINS) as cluster:
        token = await apply_account(cluster, "norte", example_plan(DOMAINS))
        first, other = (
            cluster.client("lima-1", token),
            cluster.client("arequipa-2", token),
        )

        answer = await send_repeatable(first)
        assert answer.code == ResultCode.OK
        answer = await send_at_most_once(first, "family-7")
        again = await send_at_most_once(other, "family-7")
        assert (answer.code, again.code) == (ResultCode.OK, ResultCode.OK)
        assert again.repeated and again.body == answer.body
        runs = [run for run in await cluster.runs() if run.kind == "enrol"]
        assert len(runs) == 1

        row = await first.account("POST", "/jobs", JobRow, GANG)
        row = await wait_until_ended(first, row)
        assert row.state is JobState.DONE

        for domain in DOMAINS:
            await cluster.change(SetDomain(domain, DomainState.OUT))
        row = await first.account("POST", "/jobs", JobRow, GANG)
        started = [len(await cluster.starts(domain)) for domain in DOMAINS]
        await asyncio.sleep(2)
        assert started == [len(await cluster.starts(domain)) for domain in DOMAINS]
        for domain in DOMAINS:
            await cluster.change(SetDomain(domain, DomainState.IN))
        row = await wait_until_ended(first, row)
        assert row.state is JobState.DONE

        revision = await cluster.change(RetireAccount("norte"))
        await cluster.wait_until_in_force(revision)
        answer = await send_repeatable(other)
        assert answer.code == ResultCode.ACCOUNT_RETIRED

        async def sealed_proof():
            proof = await cluster.prove("trujillo-1", "norte")
            return proof.sealed

        sealed = await eventually(sealed_proof, "the certificate")
        parts = {part.name for part in sealed.certificate.parts}
        assert set(cluster.hosts) <= parts
        bases = {part.basis for part in sealed.certificate.parts}
        assert bases == {Basis.OWN_REPORT, Basis.TABLE}
        assert set(cluster.minion_processes) <= parts
        assert {host.name for host in cluster.listed} <= parts


async def wait_until_ended(client, row: JobRow) -> JobRow:
    """Wait until a job has ended, and return its row."""

    async def check():
        found = await client.account("GET", f"/jobs/{row.job}", JobRow)
        return found if found.ended else None

    return await eventually(check, f"the end of job {row.job}")
