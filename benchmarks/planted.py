"""Mutation tests: check that the tests catch each of a list of planted faults.

`python benchmarks/planted.py` plants each fault in a copy of the source, runs the tests
that should catch it and prints a row. It fails if a fault is not caught.
"""

import argparse
import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = "src/zinniatrestle"
TIMEOUT_SECONDS = 300
MAX_JOBS = 4

CLAIMS = "requests/tests/test_at_most_once.py"
POLICY = "requests/tests/test_policy.py"
CONFIGURATION = "configuration/tests/test_configuration.py"
GANGS = "gangs/tests"
RETIREMENT = "retirement/tests"


@dataclass(frozen=True)
class PlantedFault:
    """A fault: a piece of source, its replacement and the tests that should fail."""

    name: str
    file: str
    old: str
    new: str
    tests: str


FAULTS = [
    PlantedFault(
        "claim without a check",
        "requests/claims.py",
        "PendingWrite(key, row, Check(key, ABSENT))",
        "PendingWrite(key, row, Check(RowKey('none'), ABSENT))",
        CLAIMS,
    ),
    PlantedFault(
        "a lost answer to a claim counts as written",
        "requests/claims.py",
        "    if value == pending.value:\n",
        "    if True:\n",
        CLAIMS,
    ),
    PlantedFault(
        "an at-most-once request is sent again after a lost answer",
        "requests/sending.py",
        "            except DeclinedError as declined:\n"
        "                self._check_retry_time(admitted, declined)\n",
        "            except (DeclinedError, AnswerLostError) as declined:\n"
        "                self._check_retry_time(admitted, declined)\n",
        CLAIMS,
    ),
    PlantedFault(
        "a refusal does not close its key",
        "requests/handler.py",
        "            await self._record(key, void)\n",
        "",
        CLAIMS,
    ),
    PlantedFault(
        "a key that is taken is run by its second caller",
        "requests/handler.py",
        "        if holder.attempt != row.attempt:\n",
        "        if False:\n",
        CLAIMS,
    ),
    PlantedFault(
        "no last check before bytes are sent",
        "upstreams/messages.py",
        "    start_by: float\n    timeout: float\n",
        "    start_by: float\n    timeout: float\n\n"
        "    def __post_init__(self):\n"
        "        msgspec.structs.force_setattr(self, 'start_by', 9e9)\n",
        RETIREMENT,
    ),
    PlantedFault(
        "outcomes are forgotten at once",
        "requests/retention.py",
        "RETENTION_SECONDS = 72 * 3600.0\n",
        "RETENTION_SECONDS = 1.0\n",
        "requests/tests/test_retention.py",
    ),
    PlantedFault(
        "retries without a budget",
        "requests/budget.py",
        "        if self.tokens < 1.0:\n            return False\n",
        "",
        POLICY,
    ),
    PlantedFault(
        "no ejection",
        "upstreams/state.py",
        "        if self.state is MinionState.HEALTHY and may_eject:\n",
        "        if False:\n",
        POLICY,
    ),
    PlantedFault(
        "a lost answer is told as a refusal when the hedge was refused",
        "requests/sending.py",
        "        if isinstance(task.exception(), AnswerLostError):\n",
        "        if False:\n",
        POLICY,
    ),
    PlantedFault(
        "shares ignore the account",
        "requests/admission.py",
        "        return min(waiting, key=_share_utilization)\n",
        "        return waiting[0]\n",
        POLICY,
    ),
    PlantedFault(
        "a stop does not wait for work in progress",
        "entry/host.py",
        "                while self.in_progress.total:\n",
        "                while False:\n",
        POLICY,
    ),
    PlantedFault(
        "changes don't check the head",
        "configuration/changes.py",
        "            Check(HEAD_KEY, head_version),\n"
        "            Check(change_key(record.revision), ABSENT),\n",
        "",
        CONFIGURATION,
    ),
    PlantedFault(
        "an operation token is forgotten",
        "configuration/changes.py",
        "            if accepted is not None:\n",
        "            if False:\n",
        CONFIGURATION,
    ),
    PlantedFault(
        "an older snapshot is put in force",
        "configuration/state.py",
        "        if snapshot.revision <= self.revision:\n",
        "        if False:\n",
        CONFIGURATION,
    ),
    PlantedFault(
        "a guarantee is not checked at acceptance",
        "gangs/guarantees.py",
        "        if not binding.unmet:\n",
        "        if True:\n",
        CONFIGURATION,
    ),
    PlantedFault(
        "the worker ignores the permit's deadline",
        "platform/state.py",
        "        if start_by < self.clock.wall():\n",
        "        if False:\n",
        GANGS,
    ),
    PlantedFault(
        "start permits last half a minute",
        "domains/state.py",
        "PERMIT_SECONDS = 3.0\n",
        "PERMIT_SECONDS = 30.0\n",
        GANGS,
    ),
    PlantedFault(
        "a refused reservation does not stop the gang",
        "gangs/starting.py",
        "            raise errors[0]\n",
        "            pass\n",
        GANGS,
    ),
    PlantedFault(
        "a new scheduler leaves half-done starts alone",
        "gangs/scheduler.py",
        "        await self.starter.complete_or_roll_back(epoch)\n",
        "",
        GANGS,
    ),
    PlantedFault(
        "an unreachable worker counts as ended at once",
        "gangs/fleet.py",
        "        return self.clock.wall() > latest_lease_end\n",
        "        return True\n",
        GANGS,
    ),
    PlantedFault(
        "reclaim takes no borrower's room",
        "gangs/planner.py",
        "        victims = self._borrowers_on(masks)\n",
        "        victims = []\n",
        GANGS,
    ),
    PlantedFault(
        "bad workers are not quarantined",
        "gangs/health.py",
        "        self.state = WorkerHealthState.QUARANTINED\n",
        "        self.state = WorkerHealthState.GOOD\n",
        GANGS,
    ),
    PlantedFault(
        "an at-most-once job starts again from the beginning",
        "gangs/reconciliation.py",
        "        if at_most_once and without_checkpoint:\n",
        "        if False:\n",
        GANGS,
    ),
    PlantedFault(
        "hosts are asked once",
        "retirement/evidence.py",
        "        second = await self._query_hosts(retired)\n",
        "        second = first\n",
        RETIREMENT,
    ),
    PlantedFault(
        "minions are not asked",
        "retirement/evidence.py",
        "        if running == 0:\n",
        "        if True:\n",
        RETIREMENT,
    ),
    PlantedFault(
        "the bound forgets a longer grace",
        "retirement/certificate.py",
        "        grace = self.follower.state.longest_grace(record.account)\n",
        "        grace = self.follower.state.plans[record.account]"
        ".offline_grace_seconds\n",
        RETIREMENT,
    ),
    PlantedFault(
        "an unreachable host is closed at once",
        "retirement/evidence.py",
        "        if unreachable and now > retired.grace_end_wall:\n",
        "        if unreachable:\n",
        RETIREMENT,
    ),
    PlantedFault(
        "leases of retired accounts are renewed",
        "gangs/fleet.py",
        "            if gang.row.state is not JobState.RUNNING "
        "or not self.account_active(gang):\n",
        "            if gang.row.state is not JobState.RUNNING:\n",
        RETIREMENT,
    ),
    PlantedFault(
        "requests in progress are not counted",
        "in_progress.py",
        "        return self.active[key] "
        "+ (self.abandoned.get(key, 0.0) >= now_wall)\n",
        "        return 0\n",
        RETIREMENT,
    ),
]


def run_planted(fault: PlantedFault) -> tuple[PlantedFault, str]:
    """Return a fault and the first test that catches it, or an empty string."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in ("src", "tests", "pyproject.toml"):
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        path = copy / PACKAGE / fault.file
        text = path.read_text()
        if text.count(fault.old) != 1:
            raise SystemExit(
                f"{fault.name}: the text to replace must occur exactly once"
            )
        path.write_text(text.replace(fault.old, fault.new))
        return fault, caught_by(copy, fault)


def caught_by(copy: Path, fault: PlantedFault) -> str:
    """Run the tests of a fault on a copy and return the first that fails."""
    command = [sys.executable, "-m", "pytest", "-x", "--no-header", "--tb=no"]
    command.append(f"{PACKAGE}/{fault.tests}")
    environment = {**os.environ, "PYTHONPATH": str(copy / "src")}
    try:
        done = subprocess.run(
            command,
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return "(time-out)"
    for line in done.stdout.splitlines():
        if line.startswith(("FAILED ", "ERROR ")):
            return line.split("::", 1)[-1].split(" - ")[0]
    return ""


def main():
    """Run all planted faults and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="faults whose name has this text")
    wanted = parser.parse_args().only
    faults = [fault for fault in FAULTS if wanted in fault.name]
    uncaught = 0
    print("| planted fault | caught by |\n| --- | --- |")
    with concurrent.futures.ThreadPoolExecutor(MAX_JOBS) as pool:
        for fault, test in pool.map(run_planted, faults):
            uncaught += not test
            print(f"| {fault.name} | {test or 'NOT CAUGHT'} |", flush=True)
    print(f"\n{len(faults) - uncaught} of {len(faults)} are caught.")
    sys.exit(1 if uncaught else 0)


if __name__ == "__main__":
    main()
