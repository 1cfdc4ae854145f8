"""The whole path through real processes: three failure domains, two hosts each."""

import asyncio

from common.processes import ProcessCluster, eventually
from common.templates import apply, example_plan, send_at_most_once, send_repeatable

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


def test_path_from_template_to_certificate():
    asyncio.run(walk_the_path())


async def walk_the_path():
    async with ProcessCluster(DOMAINS) as site:
        token = await apply(site, "norte", example_plan(DOMAINS))
        first, other = site.client("lima-1", token), site.client("arequipa-2", token)

        answer = await send_repeatable(first)
        assert answer.code == ResultCode.OK
        answer = await send_at_most_once(first, "family-7")
        again = await send_at_most_once(other, "family-7")
        assert (answer.code, again.code) == (ResultCode.OK, ResultCode.OK)
        assert again.repeated and again.body == answer.body
        runs = [run for run in await site.runs() if run.kind == "enrol"]
        assert len(runs) == 1

        row = await first.account("POST", "/jobs", JobRow, GANG)
        row = await finished(first, row)
        assert row.state is JobState.DONE

        for domain in DOMAINS:
            await site.change(SetDomain(domain, DomainState.OUT))
        row = await first.account("POST", "/jobs", JobRow, GANG)
        started = [len(await site.starts(domain)) for domain in DOMAINS]
        await asyncio.sleep(2)
        assert started == [len(await site.starts(domain)) for domain in DOMAINS]
        for domain in DOMAINS:
            await site.change(SetDomain(domain, DomainState.IN))
        row = await finished(first, row)
        assert row.state is JobState.DONE

        revision = await site.change(RetireAccount("norte"))
        await site.wait_until_in_force(revision)
        answer = await send_repeatable(other)
        assert answer.code == ResultCode.ACCOUNT_RETIRED

        async def proven():
            proof = await site.prove("trujillo-1", "norte")
            return proof.sealed

        sealed = await eventually(proven, "the certificate")
        parts = {part.name for part in sealed.certificate.parts}
        assert set(site.hosts) <= parts
        bases = {part.basis for part in sealed.certificate.parts}
        assert bases == {Basis.OWN_REPORT, Basis.TABLE}
        assert set(site.minion_processes) <= parts
        assert {host.name for host in site.listed} <= parts


async def finished(client, row: JobRow) -> JobRow:
    """Wait for a job's end."""

    async def check():
        found = await client.account("GET", f"/jobs/{row.job}", JobRow)
        return found if found.ended else None

    return await eventually(check, f"the end of job {row.job}")
