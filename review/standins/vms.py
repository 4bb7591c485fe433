"""The project's own processes, started as the deploy file says."""

import asyncio
import json
import os
import pathlib
import signal
import typing

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ('python3', '-S', '-P', 'deploy/start.py', 'run', '--settings')
STOP_TIMEOUT_S = 8.0


class Vm:
    """One VM's process, restarted only by the script."""

    def __init__(
        self, settings: dict[str, typing.Any], folder: pathlib.Path
    ) -> None:
        self.name = settings['vm_id']
        self.host = settings['data_address'].partition(':')[0]
        self._path = folder / f'{self.name}.json'
        self._log_path = folder / f'{self.name}.log'
        self._settings = settings
        self.change_settings()
        self._process: asyncio.subprocess.Process | None = None

    def change_settings(self, **changes: typing.Any) -> None:
        """Write the settings file with changes."""
        self._settings = {**self._settings, **changes}
        self._path.write_text(json.dumps(self._settings, indent=2))

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['SAVORYHAVEN_CONFIG'] = str(self._path)
        environment['PYTHONPATH'] = 'target/deps'
        with self._log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND,
                str(self._path),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
                env=environment,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def status(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self._process.returncode

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended."""
        return await self._process.wait()

    async def stop(self) -> None:
        """End the process."""
        if self._process is None:
            return
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    def read_events(self) -> list[dict[str, typing.Any]]:
        """Return what the VM logged."""
        events = []
        for line in self._log_path.read_text(errors='replace').splitlines():
            if line.startswith('{'):
                events.append(json.loads(line))
        return events
