"""A daemon of the product's own beside strangers at its address for peers."""

import asyncio

import msgspec
import pytest
from common.process_usage import DescriptorWatch, peak_memory
from common.processes import ProcessCluster, eventually
from common.raw_clients import RawClients

MIB = 2**20
CLIENTS = 500
MAX_DESCRIPTORS = 200
MAX_GROWTH_BYTES = 24 * MIB
FLOOD_SECONDS = 4.0
# A frame's length, within the limit of a hello, and the largest one.
SHORT_FRAME = (4000).to_bytes(4, "big")
LONG_FRAME = (16 * MIB).to_bytes(4, "big")


# Guards against strangers that take the descriptors of a host, or its memory.
@pytest.mark.parametrize(
    "data, repeated",
    [(b"", b""), (SHORT_FRAME, b""), (LONG_FRAME, b"a" * 4096)],
    ids=["silent", "frame-that-never-ends", "frame-over-the-limit"],
)
def test_many_strangers_at_the_address_for_peers(data, repeated):
    async def scenario():
        async with ProcessCluster(["lima"], hosts=2) as cluster:
            host = next(iter(cluster.hosts.values()))
            pid = host.process.popen.pid
            client = cluster.client(host.name)

            async def is_answered():
                return await client.operator("GET", "/host", msgspec.Raw)

            await eventually(is_answered, "the host answers")
            before = peak_memory(pid)
            raw = RawClients(host.peer_port, CLIENTS)
            try:
                async with DescriptorWatch(pid) as descriptors:
                    sending = asyncio.create_task(raw.run(data, repeated, MIB))
                    await asyncio.wait([sending], timeout=FLOOD_SECONDS)
                    await eventually(is_answered, "the host answers beside strangers")
                    sending.cancel()
                    await asyncio.gather(sending, return_exceptions=True)
            finally:
                raw.close()
            growth = peak_memory(pid) - before
            print(f"growth {growth / MIB:.1f} MB, descriptors {descriptors.peak}")
            assert host.process.popen.poll() is None
            assert growth <= MAX_GROWTH_BYTES
            assert descriptors.peak <= MAX_DESCRIPTORS

    asyncio.run(scenario())
