"""The daemon of an entry host."""

import asyncio
import signal

from zinniatrestle.clock import SystemClock
from zinniatrestle.entry.app import build_server
from zinniatrestle.entry.host import EntryHost
from zinniatrestle.entry.metrics import HostMetrics
from zinniatrestle.ids import HostId
from zinniatrestle.settings import HostSettings
from zinniatrestle.store.http import HttpPlatform
from zinniatrestle.upstreams.http import HttpTransport


async def serve(settings: HostSettings):
    """Run an entry host until SIGTERM or SIGINT, then stop it gracefully."""
    settings.check()
    platform = HttpPlatform(settings.platform_url, HostId(settings.host))
    transport = HttpTransport(settings.minion_connections)
    host = EntryHost(settings, platform, transport, SystemClock())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    server = build_server(host)
    metrics = HostMetrics(host)
    host.metrics = metrics.values
    await host.start()
    serving = asyncio.create_task(server.serve())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({serving, stopping}, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if not serving.done():
        await host.leave()
        server.should_exit = True
    await serving
    await host.drain()
    await host.stop()
    metrics.close()
