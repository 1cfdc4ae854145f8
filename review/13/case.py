"""Calls with a revoked key at a queue that also takes calls without a key."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from cluster import Record, deployment, job  # noqa: E402

# The bound `revokeMs` of the settings, and a margin for the answers.
REVOKE_SECONDS = 5.0
MARGIN_SECONDS = 2.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


def desired(version: int, keys: list[str]) -> dict:
    """Return a desired state in which the former customer has these keys."""
    queue = {
        "host": "queue.example",
        "service": "service",
        "priority": 1,
        "maxAttempts": 3,
        "stretch": 3.0,
        "targetLatencyMs": 1200,
        "timeoutMs": 3000,
    }
    return {
        "version": version,
        "routes": [
            {**queue, "name": "r-open", "pathPrefix": "/open/", "allowAnonymous": True},
            {**queue, "name": "r-keyed", "pathPrefix": "/keyed/"},
        ],
        "services": [{"name": "service", "enforcesCapacity": False}],
        "limits": {"maxBodyBytes": 262144},
        "tenants": [
            {"name": "former", "apiKeys": keys, "guaranteed": {"gpus": 0}},
            {"name": "other", "apiKeys": ["key-other"], "guaranteed": {"gpus": 8}},
        ],
    }


async def run(record: Record, folder: Path, is_revoked: bool) -> int:
    """Return the result of the case."""
    async with deployment(folder, record, desired(1, ["key-former"])) as cluster:
        first = cluster.hosts[0]
        for path in ("/open/00000000000000a0", "/keyed/00000000000000a1"):
            status = await cluster.call(first, "POST", path, job(0.5), "key-former")
            if status != 200:
                return NOT_RUN
        if is_revoked:
            cluster.configure(desired(2, []))
        await asyncio.sleep(REVOKE_SECONDS + MARGIN_SECONDS)
        has_run = []
        for number, host in enumerate(cluster.hosts):
            for queue in ("open", "keyed"):
                path = f"/{queue}/{number:015x}{'b' if queue == 'open' else 'c'}"
                status = await cluster.call(host, "POST", path, job(0.5), "key-former")
                if status == 0:
                    return NOT_RUN
                if status == 200:
                    has_run.append(path)
        await asyncio.sleep(3.0)
        cluster.write_runs()
        if not is_revoked:
            return HELD if len(has_run) == 2 * len(cluster.hosts) else NOT_RUN
        for path in has_run:
            record.write(f"broken: {path} was answered with success")
        return BROKEN if has_run else HELD


def main() -> int:
    """Run the case and return the exit code."""
    record = Record(FOLDER / "record.txt")
    is_revoked = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(is_revoked)}")
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(run(record, Path(folder), is_revoked))
        except TimeoutError:
            result = NOT_RUN
    record.write(f"exit code {result}")
    return result


sys.exit(main())
