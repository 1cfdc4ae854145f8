"""Memory and descriptors of a process."""

import asyncio
import os
from pathlib import Path

SAMPLE_SECONDS = 0.05
KIB = 1024


def peak_memory(pid: int) -> int:
    """Return the peak resident size of a process, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB
    raise RuntimeError(f"The process {pid} has no VmHWM.")


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class DescriptorWatch:
    """The largest number of open descriptors of a process that was sampled."""

    def __init__(self, pid: int):
        self.pid = pid
        self.peak = 0

    async def __aenter__(self):
        self.task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self):
        while True:
            self.peak = max(self.peak, open_descriptors(self.pid))
            await asyncio.sleep(SAMPLE_SECONDS)
