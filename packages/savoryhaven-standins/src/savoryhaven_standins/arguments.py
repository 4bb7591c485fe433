"""Shared code of the command lines of the stand-ins."""

import argparse
import asyncio
import contextlib
import signal
import typing

from aiohttp import web


def split_address(text: str) -> tuple[str, int]:
    """Return the host and port of ``IP:port``."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def add_address(
    parser: argparse.ArgumentParser, name: str, help_text: str
) -> None:
    """Add a required option that takes ``IP:port``."""
    parser.add_argument(
        name, required=True, type=split_address, help=help_text
    )


async def serve_http(
    app: web.Application, address: tuple[str, int]
) -> web.AppRunner:
    """Start serving an application at an address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, *address).start()
    return runner


def run_until_stopped(
    start: typing.Callable[[], typing.Awaitable[typing.Any]],
) -> None:
    """Await ``start()``, and run until SIGTERM or SIGINT."""

    async def run() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        await start()
        await stopped.wait()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run())
