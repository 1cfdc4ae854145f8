"""Run an entry host on the platform."""

import sys
from pathlib import Path

import cyclopts

from zinniatrestle.errors import SettingsError
from zinniatrestle.platform.daemon import DaemonSettings, serve_on_platform
from zinniatrestle.platform.settings import SETTINGS_VARIABLE

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
    """
    import os

    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    await serve_on_platform(DaemonSettings(path, metrics_port, log_lines))


def main():
    """Run the daemon and exit with its code."""
    try:
        app()
    except SettingsError as error:
        sys.stderr.write(f"{error.code.name} ({int(error.code)}): {error.detail}\n")
        sys.exit(2)


main()
