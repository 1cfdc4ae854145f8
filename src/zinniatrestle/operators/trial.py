"""The `trial` command: a cluster in one process, as a demonstration."""

import asyncio

from zinniatrestle.clock import SystemClock, monotonic
from zinniatrestle.configuration.messages import (
    ApplyAccount,
    DomainState,
    PutTemplate,
    RetireAccount,
    Semantics,
    SetDomain,
    Template,
)
from zinniatrestle.entry import EntryHost
from zinniatrestle.gangs import JobSpec, JobState, TaskShape
from zinniatrestle.ids import (
    ClientAccountId,
    FailureDomainId,
    JobId,
    RequestKey,
    ServiceName,
    TemplateName,
    new_operation_token,
)
from zinniatrestle.operators.exits import ExitCode
from zinniatrestle.operators.output import show_line
from zinniatrestle.requests import Request
from zinniatrestle.settings import HostSettings
from zinniatrestle.standins.embedded import EmbeddedMinions
from zinniatrestle.standins.model import Model, step
from zinniatrestle.standins.runs import EventKind
from zinniatrestle.standins.site import minion_list, worker_list
from zinniatrestle.store.embedded import EmbeddedPlatform

DOMAIN = FailureDomainId("lima")
ACCOUNT = ClientAccountId("norte")
SERVICE = ServiceName("enrolment")
ADDRESS = "127.0.0.1:0"
STARTUP_SECONDS = 0.1
POLL_SECONDS = 0.2
MAX_WAIT_SECONDS = 60.0
# Run time of each task in the job with steps.
STEP_TASK_SECONDS = 0.3

TEMPLATE = Template(
    TemplateName("franchise"),
    {
        "domains": [DOMAIN],
        "offline_grace_seconds": 5.0,
        "guarantees": [{"domain": DOMAIN, "cell": "worker", "count": 2}],
        "kinds": [
            {
                "service": SERVICE,
                "kind": "seat-check",
                "semantics": Semantics.REPEATABLE.value,
                "quick": True,
            },
            {
                "service": SERVICE,
                "kind": "enrol",
                "semantics": Semantics.AT_MOST_ONCE.value,
            },
        ],
    },
)


class Trial:
    """A demonstration on one entry host with an embedded platform and minions."""

    def __init__(self):
        clock = SystemClock()
        minions = minion_list(DOMAIN, SERVICE, [ADDRESS, ADDRESS])
        listed_hosts = minions + worker_list(DOMAIN, 8, ADDRESS)
        self.minions = EmbeddedMinions(clock)
        self.settings = HostSettings(
            host="lima-1",
            domain=DOMAIN,
            region="peru",
            peer_port=0,
            cluster_key="trial-cluster-key",
            operator_token="trial-operator-token",
            platform_url="embedded",
            notice_seconds=0.0,
        )
        platform = EmbeddedPlatform(listed_hosts, clock)
        self.host = EntryHost(self.settings, platform, self.minions, clock)

    async def run(self, seconds: float) -> ExitCode:
        """Run all parts of the demonstration; return the exit code."""
        await self.host.start()
        await asyncio.sleep(STARTUP_SECONDS)
        await self._configure()
        await self._send_requests()
        await self._run_gang(seconds)
        await self._cycle_domain()
        proven = await self._retire()
        await self._run_steps()
        await self.host.leave()
        await self.host.drain()
        await self.host.stop()
        return ExitCode.DONE if proven else ExitCode.NOT_YET

    async def _configure(self):
        await self._change(PutTemplate(TEMPLATE))
        revision = await self._change(ApplyAccount(ACCOUNT, TEMPLATE.name, "digest"))
        show_line(f"1. Template and account are in force at revision {revision}.")

    async def _send_requests(self):
        answer = await self._request("seat-check", None)
        show_line(f"2. A seat check is answered: {answer.body.decode()}")
        first = await self._request("enrol", RequestKey("family-7"))
        again = await self._request("enrol", RequestKey("family-7"))
        same_answer = first.body == again.body and again.repeated
        show_line(
            f"3. An enrolment runs once: the repeated key gets "
            f"{'the same answer' if same_answer else 'ANOTHER answer'}, "
            f"{self.minions.count('enrol')} run."
        )

    async def _run_gang(self, seconds: float):
        shape = TaskShape(accelerators=8, cores=8.0, memory_gb=16.0)
        spec = JobSpec(tasks=4, command=["sleep", str(seconds)], shape=shape)
        row = await self.host.jobs.submit(ACCOUNT, spec, None)
        row = await self._wait_for_state(row.job, JobState.RUNNING)
        workers = ", ".join(slot.worker for slot in row.placement)
        show_line(f"4. A gang of {spec.tasks} tasks runs on {workers}.")
        row = await self._wait_for_state(row.job, JobState.DONE)
        show_line(f"5. It is done after {row.ended - row.submitted:.1f} s.")

    async def _cycle_domain(self):
        await self._change(SetDomain(DOMAIN, DomainState.OUT, "trial"))
        spec = JobSpec(tasks=1, command=["sleep", "0"])
        row = await self.host.jobs.submit(ACCOUNT, spec, None)
        await asyncio.sleep(1.5)
        row = await self.host.jobs.status(ACCOUNT, row.job)
        show_line(f"6. The failure domain is out: a new job is {row.state.value}.")
        await self._change(SetDomain(DOMAIN, DomainState.IN))
        await self._wait_for_state(row.job, JobState.DONE)
        show_line("7. The failure domain is back: the job is done.")

    async def _retire(self) -> bool:
        await self._change(RetireAccount(ACCOUNT))
        refused = await self._request("seat-check", None)
        show_line(f"8. The account is retired: a seat check gets {refused.code.name}.")
        proof = await self.host.prover.prove(ACCOUNT)
        if proof.sealed is None:
            show_line(f"9. NOT_PROVEN: {proof.open}")
            return False
        show_line(
            f"9. The certificate lists {len(proof.sealed.certificate.parts)} closed "
            f"parts, sha256 {proof.sealed.sha256}."
        )
        return True

    async def _run_steps(self):
        """Run a job with two steps on an embedded model of the platform."""
        model = Model(hosts=2)
        await model.start(workers=4, rack=4)
        shapes = (step(3, gang=True, gpus=4), step(2, after=(0,)))
        started_at = monotonic()
        job = await model.submit("usual", shapes, STEP_TASK_SECONDS)
        settled = await model.wait_for_jobs(MAX_WAIT_SECONDS)
        starts = {
            event.worker
            for event in model.fleet.history
            if event.kind is EventKind.START
        }
        state = model.state(job)
        show_line(
            f"10. A job with two steps, a gang of 3 and 2 tasks after it, is "
            f"{state.value if settled and state else 'not done'} after "
            f"{monotonic() - started_at:.1f} s on {len(starts)} workers."
        )
        await model.stop()

    async def _change(self, change) -> int:
        return await self.host.changes.submit(change, new_operation_token())

    async def _request(self, kind: str, key: RequestKey | None):
        request = Request(ACCOUNT, SERVICE, kind, b'{"seat": 7}', 5.0, key)
        return await self.host.handler.handle(request)

    async def _wait_for_state(self, job: JobId, state: JobState):
        async with asyncio.timeout(MAX_WAIT_SECONDS):
            while True:
                row = await self.host.jobs.status(ACCOUNT, job)
                if row.state is state:
                    return row
                await asyncio.sleep(POLL_SECONDS)


async def run_trial(seconds: float) -> ExitCode:
    """Run the trial and print the result of each step."""
    return await Trial().run(seconds)
