"""Starts and stops the processes of a demo or a test."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys
import typing

import aiohttp

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class Processes:
    """Processes that end with the one that started them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder: typing.Final = folder
        self.running: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, *command: str) -> None:
        """Start a Python module or a binary of this environment."""
        log = (self.folder / f'{name}.log').open('ab')
        environment = {**os.environ, 'PYTHONUNBUFFERED': '1'}
        self.running[name] = await asyncio.create_subprocess_exec(
            *command, stdout=log, stderr=log, env=environment
        )
        log.close()

    def read_log(self, name: str) -> str:
        """Return what a process has logged so far."""
        return (self.folder / f'{name}.log').read_text()

    def check_running(self, name: str) -> None:
        """Raise with the log of a process that has ended."""
        if self.running[name].returncode is not None:
            raise RuntimeError(f'{name} ended:\n{self.read_log(name)}')

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    async def wait(self, name: str) -> int:
        """Wait for the end of a process; return its exit status."""
        return await self.running.pop(name).wait()

    async def stop_all(self) -> None:
        """Stop what still runs, the hard way if it does not listen."""
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        waits = [process.wait() for process in self.running.values()]
        try:
            async with asyncio.timeout(3.0):
                await asyncio.gather(*waits)
        except TimeoutError:
            for process in self.running.values():
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        self.running.clear()


def find_binary(name: str) -> str:
    """Return the path of a binary in this environment."""
    return str(pathlib.Path(sys.executable).parent / name)


def pick_network() -> str:
    """Return the first half of a loopback network that nobody uses."""
    for second in range(16, 250):
        network = f'127.{second}'
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((f'{network}.0.1', 9_000))
            except OSError:
                continue
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # Held until the process ends, so that two runs never share one.
            lock.bind((f'{network}.255.254', 9_000))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return network
    raise RuntimeError('no free loopback network')


_locks: list[socket.socket] = []


async def call(method: str, url: str, value: typing.Any = None) -> typing.Any:
    """Call an HTTP interface once and return its JSON, if any."""
    timeout = aiohttp.ClientTimeout(total=5.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.request(method, url, json=value) as answer:
            answer.raise_for_status()
            if answer.content_type == 'application/json':
                return await answer.json()
            return None


async def wait_until_up(url: str) -> typing.Any:
    """Call a URL until it answers; return its JSON."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                return await call('GET', url)
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(POLL_INTERVAL_S)
