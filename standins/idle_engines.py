"""Many idle engines in one process, to measure a daemon's cost per endpoint."""

import asyncio

import uvloop
from absl import app as absl_app
from absl import flags
from aiohttp import web

from standins.engine import EngineStandIn, build_app
from standins.registering import register

__all__ = ["main"]

FLAGS = flags.FLAGS


async def _serve() -> None:
    for number in range(FLAGS.count):
        port = FLAGS.first_port + number
        engine = EngineStandIn(
            name=f"crowd-{number}",
            address=f"127.0.0.1:{port}",
            failure_domain=FLAGS.domains[number % len(FLAGS.domains)],
            service="crowd",
            versions=tuple(FLAGS.versions),
        )
        runner = web.AppRunner(build_app(engine), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await register(FLAGS.platform_url, engine.instance_entry())
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve until stopped."""
    uvloop.run(_serve())


if __name__ == "__main__":
    flags.DEFINE_integer("count", 10, "Engines to serve.")
    flags.DEFINE_integer("first_port", 15000, "Port of the first engine.")
    flags.DEFINE_list("domains", ["riga-ke"], "Failure domains, in turn.")
    flags.DEFINE_list("versions", ["linnet-small@2026.09"], "Versions they serve.")
    flags.DEFINE_string("platform_url", "", "Platform to be listed at.")
    absl_app.run(main)
