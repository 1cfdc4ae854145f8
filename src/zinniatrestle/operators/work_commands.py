"""Commands on jobs, requests, proofs and reports."""

import asyncio
import shlex
from typing import Annotated

from cyclopts import App, Parameter

from zinniatrestle.clock import monotonic
from zinniatrestle.configuration.messages import Semantics
from zinniatrestle.errors import ResultCode
from zinniatrestle.gangs.messages import ENDED_STATES, JobRow, JobSpec, TaskShape
from zinniatrestle.ids import FailureDomainId
from zinniatrestle.operators.client import Client, ClientSettings
from zinniatrestle.operators.exits import ExitCode
from zinniatrestle.operators.messages import HostView, ReportView
from zinniatrestle.operators.output import (
    show_json,
    show_line,
    show_list,
    show_progress,
    show_table,
)
from zinniatrestle.requests.routes import KEY_HEADER
from zinniatrestle.retirement import Proof

POLL_SECONDS = 0.5

Settings = Annotated[ClientSettings, Parameter(name="*")]
DEFAULT_SETTINGS = ClientSettings()

jobs = App(name="job", help="Jobs of a client account.")
reports = App(name="report", help="Reports.")


@jobs.command(name="submit")
async def submit_job(
    *command: str,
    tasks: int = 1,
    accelerators: int = 0,
    cores: float = 1.0,
    memory_gb: float = 1.0,
    declared_seconds: float = 0.0,
    urgent: bool = False,
    at_most_once: bool = False,
    domain: list[str] | None = None,
    key: str | None = None,
    wait: bool = False,
    timeout: float = 600.0,
    settings: Settings = DEFAULT_SETTINGS,
) -> ExitCode:
    """Submit a job: a gang of tasks that all run COMMAND.

    Parameters
    ----------
    accelerators
        Adjacent accelerators per task.
    cores
        Cores per task.
    memory_gb
        Memory per task, in GB.
    key
        Idempotency key: a repeated key returns the job that was accepted first.
    """
    semantics = Semantics.AT_MOST_ONCE if at_most_once else Semantics.REPEATABLE
    spec = JobSpec(
        tasks=tasks,
        command=shlex.split(" ".join(command)),
        shape=TaskShape(accelerators, cores, memory_gb),
        declared_seconds=declared_seconds,
        urgent=urgent,
        semantics=semantics,
        domains=[FailureDomainId(name) for name in domain or []],
    )
    headers = {KEY_HEADER: key} if key else {}
    client = Client(settings)
    row = await client.account("POST", "/jobs", JobRow, spec, headers)
    if not wait:
        _show_jobs([row], settings)
        return ExitCode.DONE
    return await _wait_for_job(client, row, timeout, settings)


@jobs.command(name="status")
async def show_job(job: str, *, settings: Settings = DEFAULT_SETTINGS):
    """Show one job."""
    row = await Client(settings).account("GET", f"/jobs/{job}", JobRow)
    _show_jobs([row], settings)


@jobs.command(name="cancel")
async def cancel_job(job: str, *, settings: Settings = DEFAULT_SETTINGS):
    """Cancel a job; cancelling it again has no effect."""
    row = await Client(settings).account("DELETE", f"/jobs/{job}", JobRow)
    _show_jobs([row], settings)


@jobs.command(name="list")
async def list_jobs(*, settings: Settings = DEFAULT_SETTINGS):
    """List an account's jobs."""
    rows = await Client(settings).account("GET", "/jobs", list[JobRow])
    _show_jobs(rows, settings)


async def send_request(
    service: str,
    kind: str,
    *,
    body: str = "{}",
    key: str | None = None,
    timeout_ms: int = 10_000,
    settings: Settings = DEFAULT_SETTINGS,
) -> ExitCode:
    """Send a request to a service's minions and print the answer."""
    client = Client(settings)
    answer = await client.request(service, kind, body.encode(), key, timeout_ms)
    if settings.json:
        show_json(answer)
    else:
        name = ResultCode(answer.code).name
        repeated = ", repeated" if answer.repeated else ""
        show_line(f"{name} ({answer.code}), key {answer.key_state}{repeated}")
        show_line(answer.body)
    return ExitCode.DONE if answer.code == ResultCode.OK else ExitCode.REFUSED


async def prove(
    account: str,
    *,
    wait: bool = False,
    timeout: float = 120.0,
    settings: Settings = DEFAULT_SETTINGS,
) -> ExitCode:
    """Prove that a retired client account runs nowhere, or list what is still open."""
    client = Client(settings)
    deadline = monotonic() + timeout
    while True:
        proof = await client.operator("GET", f"/proof/{account}", Proof)
        if proof.sealed is not None or not wait or monotonic() >= deadline:
            break
        show_progress(f"{len(proof.open)} parts are open, {proof.closed} closed.")
        await asyncio.sleep(POLL_SECONDS)
    _show_proof(proof, settings)
    return ExitCode.DONE if proof.sealed is not None else ExitCode.NOT_YET


@reports.command(name="burn")
async def report_burn(*, settings: Settings = DEFAULT_SETTINGS):
    """Show burn rates of error budgets, and a job summary of each domain."""
    report = await Client(settings).operator("GET", "/report/burn", ReportView)
    if settings.json:
        show_json(report)
        return
    _show_burn(report)
    _show_domains(report)


async def show_host(*, settings: Settings = DEFAULT_SETTINGS):
    """Show the minions and refusals of the entry host that is asked."""
    view = await Client(settings).operator("GET", "/host", HostView)
    if settings.json:
        show_json(view)
        return
    show_line(f"Host {view.host} is {view.state}.")
    for refusal in view.refusals:
        show_line(f"Refused: {refusal.what}, {refusal.reason} ({refusal.code}).")
    rows = []
    for entry in view.minions:
        in_use = f"{entry.in_use}/{entry.share}"
        rows.append([entry.minion, entry.service, entry.state, in_use])
    show_table(["MINION", "SERVICE", "STATE", "IN USE"], rows)


def show_codes(*, settings: Settings = DEFAULT_SETTINGS):
    """List the numeric result codes."""
    codes = {code.name: int(code) for code in ResultCode}
    rows = [[int(code), code.name] for code in ResultCode]
    show_list(codes, settings.json, ["CODE", "NAME"], rows)


async def _wait_for_job(
    client: Client, row: JobRow, timeout: float, settings: ClientSettings
) -> ExitCode:
    deadline = monotonic() + timeout
    state = None
    while row.state not in ENDED_STATES and monotonic() < deadline:
        if row.state is not state:
            show_progress(f"Job {row.job} is {row.state.value}.")
            state = row.state
        await asyncio.sleep(POLL_SECONDS)
        row = await client.account("GET", f"/jobs/{row.job}", JobRow)
    _show_jobs([row], settings)
    if row.state not in ENDED_STATES:
        return ExitCode.NOT_YET
    return ExitCode.DONE if row.code == ResultCode.OK else ExitCode.REFUSED


def _show_jobs(rows: list[JobRow], settings: ClientSettings):
    table_rows = []
    for row in rows:
        workers = ", ".join(f"{s.worker}x{s.tasks}" for s in row.placement) or "-"
        state = row.state.value
        table_rows.append(
            [row.job, state, row.domain, row.spec.tasks, workers, row.detail]
        )
    headings = ["JOB", "STATE", "DOMAIN", "TASKS", "WORKERS", "DETAIL"]
    show_list(rows, settings.json, headings, table_rows)


def _show_proof(proof: Proof, settings: ClientSettings):
    if settings.json:
        show_json(proof)
        return
    if proof.sealed is None:
        show_line(
            f"NOT_PROVEN: {len(proof.open)} parts are open, {proof.closed} closed."
        )
        rows = []
        for part in proof.open:
            rows.append([part.kind.value, part.name, part.domain, part.reason])
        show_table(["PART", "NAME", "DOMAIN", "OPEN BECAUSE"], rows)
        return
    certificate = proof.sealed.certificate
    show_line(
        f"Client account {certificate.account} runs nowhere: retired at revision "
        f"{certificate.retired_revision}, {len(certificate.parts)} parts closed, "
        f"sha256 {proof.sealed.sha256}."
    )
    rows = []
    for part in certificate.parts:
        rows.append([part.kind.value, part.name, part.domain, part.basis.value])
    show_table(["PART", "NAME", "DOMAIN", "CLOSED BY"], rows)


def _show_burn(report: ReportView):
    rows = []
    for line in report.burn.lines:
        rates = list(line.burn_rates.values())
        rows.append(
            [
                line.account,
                f"{line.service}/{line.kind}",
                f"{line.target:.3%} in {line.latency_ms:g} ms",
                line.answers,
                f"{line.p50_ms:.1f}",
                f"{line.p99_ms:.1f}",
                *[f"{rate:.2f}" for rate in rates],
                line.alert,
            ]
        )
    headings = ["ACCOUNT", "KIND", "OBJECTIVE", "ANSWERS", "P50 MS", "P99 MS"]
    headings.extend(["5 MIN", "30 MIN", "1 H", "6 H", "ALERT"])
    show_table(headings, rows)
    if report.burn.missing:
        show_line(f"No answer from: {', '.join(report.burn.missing)}.")


def _show_domains(report: ReportView):
    rows = []
    for summary in report.domains:
        held = summary.accelerators - summary.accelerators_free
        rows.append(
            [
                summary.domain,
                f"{held}/{summary.accelerators}",
                summary.unusable,
                summary.running,
                summary.queued,
                summary.done,
                f"{summary.service_done:.0f}",
                f"{summary.completion_mean:.1f}",
            ]
        )
    headings = ["DOMAIN", "HELD", "UNUSABLE", "RUNNING", "QUEUED", "DONE"]
    headings.extend(["WORK DONE (ACC S)", "MEAN COMPLETION S"])
    show_table(headings, rows)
