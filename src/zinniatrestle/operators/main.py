"""The `zinniatrestle` command line."""

import sys
from typing import Annotated

import cyclopts
from absl import logging
from cyclopts import App, Parameter

from zinniatrestle import __version__
from zinniatrestle.errors import SettingsError, ZinniatrestleError
from zinniatrestle.operators import (
    analysis_commands,
    configuration_commands,
    work_commands,
)
from zinniatrestle.operators.client import UnreachableError
from zinniatrestle.operators.exits import ExitCode
from zinniatrestle.settings import ENVIRONMENT_PREFIX, HostSettings

Settings = Annotated[HostSettings, Parameter(name="*")]

app = App(
    name="zinniatrestle",
    help="Schedule multi-accelerator jobs under client account guarantees.",
    version=__version__,
    config=cyclopts.config.Env(ENVIRONMENT_PREFIX, command=False),
)
for group in (
    configuration_commands.templates,
    configuration_commands.accounts,
    configuration_commands.domains,
    configuration_commands.configuration,
    work_commands.jobs,
    work_commands.reports,
):
    app.command(group)
app.command(work_commands.send_request, name="request")
app.command(work_commands.prove, name="proof")
app.command(work_commands.show_host, name="host")
app.command(work_commands.show_codes, name="codes")
app.command(analysis_commands.explain)
app.command(analysis_commands.experiment)


@app.command
async def serve(*, settings: Settings | None = None):
    """Run an entry host until SIGTERM."""
    # Imported lazily, because the client commands need nothing of the daemon.
    from zinniatrestle.entry.daemon import serve as serve_host

    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    await serve_host(settings or HostSettings())


@app.command
async def trial(*, seconds: float = 3.0) -> ExitCode:
    """Run requests, a gang and a retirement on an embedded platform.

    Parameters
    ----------
    seconds
        Run time of the gang's tasks, in seconds.
    """
    from zinniatrestle.operators.trial import run_trial

    return await run_trial(seconds)


def main(arguments: list[str] | None = None):
    """Run a command and exit with its exit code."""
    try:
        result = app(arguments, result_action="return_value")
    except UnreachableError as error:
        _print_error(error)
        sys.exit(ExitCode.UNREACHABLE)
    except SettingsError as error:
        _print_error(error)
        sys.exit(ExitCode.USAGE)
    except ZinniatrestleError as error:
        _print_error(error)
        sys.exit(ExitCode.REFUSED)
    except OSError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(ExitCode.USAGE)
    sys.exit(result if isinstance(result, ExitCode) else ExitCode.DONE)


def _print_error(error: ZinniatrestleError):
    sys.stderr.write(f"{error.code.name} ({int(error.code)}): {error.detail}\n")
