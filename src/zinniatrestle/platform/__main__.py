"""Run an entry host on the platform."""

import sys
from pathlib import Path

import cyclopts

from zinniatrestle.errors import SettingsError
from zinniatrestle.ingress.limits import IngressSettings
from zinniatrestle.jobs import IntakeSettings
from zinniatrestle.platform.daemon import DaemonSettings, serve_on_platform
from zinniatrestle.platform.settings import SETTINGS_VARIABLE
from zinniatrestle.scheduling.backlog import WorkSettings

app = cyclopts.App(
    name="zinniatrestle.platform",
    help="Run an entry host on the platform.",
    config=cyclopts.config.Env("ZINNIATRESTLE_", command=False),
)


@app.default
async def serve(
    *,
    settings: cyclopts.types.ExistingFile | None = None,
    metrics_port: int = DaemonSettings.metrics_port,
    log_lines: int = DaemonSettings.log_lines,
    client_memory_share: float = IngressSettings.memory_share,
    body_timeout: float = IngressSettings.body_timeout,
    write_timeout: float = IngressSettings.write_timeout,
    max_connections: int = IngressSettings.max_connections,
    unknown_cancel_rate: float = IntakeSettings.unknown_cancel_rate,
    work_memory_share: float = WorkSettings.memory_share,
):
    """Serve until SIGTERM.

    Parameters
    ----------
    settings
        The platform's settings file; by default the one named by the
        environment variable ZINNIATRESTLE_BOOT.
    metrics_port
        Port on which metrics are served.
    log_lines
        Log lines buffered while their reader is stalled; further ones are dropped.
    client_memory_share
        Share of the machine's memory for the connections of clients.
    body_timeout
        Time for the body of a request to arrive, in seconds.
    write_timeout
        Time after which a connection is closed whose peer reads nothing, in seconds.
    max_connections
        Maximum number of connections of clients; 0: derived from the descriptors.
    unknown_cancel_rate
        Cancellations of unknown jobs that this host stores, in calls a second; others
        are refused with 429.
    work_memory_share
        Share of the machine's memory for accepted work while this host schedules.
    """
    import os

    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    ingress = IngressSettings(
        client_memory_share, body_timeout, write_timeout, max_connections
    )
    intake = IntakeSettings(unknown_cancel_rate)
    await serve_on_platform(
        DaemonSettings(
            path,
            metrics_port,
            log_lines,
            ingress,
            intake,
            WorkSettings(work_memory_share),
        )
    )


def main():
    """Run the daemon and exit with its code."""
    try:
        app()
    except SettingsError as error:
        sys.stderr.write(f"{error.code.name} ({int(error.code)}): {error.detail}\n")
        sys.exit(2)


main()
