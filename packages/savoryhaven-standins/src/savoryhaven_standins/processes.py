"""Starts and stops the processes of a demo or a test."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import typing

import aiohttp

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class Processes:
    """The child processes of a demo or a test, with their logs."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder: typing.Final = folder
        self.running: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, name: str, *command: str) -> None:
        """Start a command that logs to a file in the folder."""
        log = (self.folder / f'{name}.log').open('ab')
        environment = {**os.environ, 'PYTHONUNBUFFERED': '1'}
        self.running[name] = await asyncio.create_subprocess_exec(
            *command, stdout=log, stderr=log, env=environment
        )
        log.close()

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f'{name}.log').read_text()

    def check_running(self, name: str) -> None:
        """Raise ``RuntimeError`` with the log if a process has ended."""
        if self.running[name].returncode is not None:
            raise RuntimeError(f'process {name} ended:\n{self.read_log(name)}')

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.running[name].send_signal(number)

    async def wait(self, name: str) -> int:
        """Wait until a process ends; return its exit status."""
        return await self.running.pop(name).wait()

    async def stop_all(self) -> None:
        """Stop all processes; kill those that ignore SIGTERM."""
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


def run_binary(
    name: str, *arguments: str, lines: str = ''
) -> subprocess.CompletedProcess[str]:
    """Run an executable as an operator does, with lines as its input."""
    return subprocess.run(
        [find_binary(name), *arguments],
        input=lines,
        capture_output=True,
        text=True,
        check=False,
    )


def find_binary(name: str) -> str:
    """Return the path of an executable of this environment."""
    return str(pathlib.Path(sys.executable).parent / name)


def pick_network() -> str:
    """Return the first two octets of an unused loopback network."""
    for second in range(16, 250):
        network = f'127.{second}'
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((f'{network}.0.1', 9_000))
            except OSError:
                continue
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # Bound until the process ends, so that no other run picks it.
            lock.bind((f'{network}.255.254', 9_000))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return network
    raise RuntimeError('no free loopback network')


_locks: list[socket.socket] = []


async def call(method: str, url: str, value: typing.Any = None) -> typing.Any:
    """Send an HTTP request and return the JSON answer, if any."""
    timeout = aiohttp.ClientTimeout(total=5.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        async with session.request(method, url, json=value) as answer:
            answer.raise_for_status()
            if answer.content_type == 'application/json':
                return await answer.json()
            return None


async def wait_until_up(url: str) -> typing.Any:
    """Request a URL until it answers; return the JSON answer."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                return await call('GET', url)
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(POLL_INTERVAL_S)
