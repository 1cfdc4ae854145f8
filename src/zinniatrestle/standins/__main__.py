"""Serve one stand-in over HTTP.

Example: `python -m zinniatrestle.standins platform --port 9000`.
"""

import uvicorn
from cyclopts import App
from starlette.applications import Starlette

from zinniatrestle.ids import FailureDomainId
from zinniatrestle.standins.minion import MinionServer
from zinniatrestle.standins.platform import PlatformServer
from zinniatrestle.standins.site import worker_list
from zinniatrestle.standins.workers import WorkersServer

ADDRESS = "127.0.0.1"

app = App(name="standins", help="Stand-ins of the platform, minions and workers.")


@app.command
def platform(port: int):
    """Serve the table service, the object store and the host list."""
    _serve(PlatformServer().app(), port)


@app.command
def minion(name: str, port: int, slots: int = 8):
    """Serve one minion."""
    _serve(MinionServer(name, slots).app(), port)


@app.command
def workers(domain: str, count: int, port: int):
    """Serve the workers of one failure domain."""
    listed = worker_list(FailureDomainId(domain), count, f"{ADDRESS}:{port}")
    _serve(WorkersServer(listed).app(), port)


def _serve(application: Starlette, port: int):
    uvicorn.run(
        application,
        host=ADDRESS,
        port=port,
        log_config=None,
        access_log=False,
        lifespan="off",
    )


if __name__ == "__main__":
    app()
