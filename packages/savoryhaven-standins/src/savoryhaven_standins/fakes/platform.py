"""A fake platform in memory, and a client of it."""

import asyncio
import json
import typing

from _savoryhaven import errors
from _savoryhaven.tracking import platform


class Platform:
    """Stores the platform's objects and list of VMs; tests set its faults."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], platform.StoredObject] = {}
        self.vms: dict[str, platform.PlatformVm] = {}
        self.revision = 1
        self.outage = False
        self.delay_s = 0.0
        self.lost_answers = 0
        self.stale: platform.StoredObject | None = None
        self.silent_watches = False
        self.unreachable_from: set[str] = set()
        self.calls = 0

    def put_vm(self, vm: platform.PlatformVm) -> None:
        self.vms[vm.vm_id] = vm
        self.revision += 1

    def remove_vm(self, vm_id: str) -> None:
        self.vms.pop(vm_id, None)
        self.revision += 1

    def store(self, value: typing.Any) -> None:
        """Store a document without checking it."""
        stored = self.objects.get(('routing', 'document'))
        version = str(int(stored.version) + 1) if stored else '1'
        self.objects['routing', 'document'] = platform.StoredObject(
            version, json.loads(json.dumps(value))
        )


class MemoryPlatform:
    """A VM's client of the fake platform."""

    def __init__(self, shared: Platform, host: str) -> None:
        self._shared = shared
        self._host = host

    async def _begin_call(self) -> None:
        self._shared.calls += 1
        await asyncio.sleep(0.002 + self._shared.delay_s)
        if self._shared.outage or self._host in self._shared.unreachable_from:
            raise errors.PlatformError(
                errors.Problem(code='SH301', message='outage')
            )

    async def read_object(
        self, kind: str, name: str
    ) -> platform.StoredObject | None:
        await self._begin_call()
        return self._shared.stale or self._shared.objects.get((kind, name))

    async def watch_object(
        self, kind: str, name: str, version: str, wait_s: float
    ) -> platform.StoredObject | None:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            found = await self.read_object(kind, name)
            silent = self._shared.silent_watches and wait_s > 0
            if found and found.version != version and not silent:
                return found
            if loop.time() >= until:
                return None
            await asyncio.sleep(0.02)

    async def write_object(
        self, kind: str, name: str, value: typing.Any, *, expected: str
    ) -> str:
        await self._begin_call()
        stored = self._shared.objects.get((kind, name))
        if (stored.version if stored else '') != expected:
            raise errors.ConflictError(
                errors.Problem(code='SH302', message='changed')
            )
        self._shared.store(value)
        if self._shared.lost_answers > 0:
            self._shared.lost_answers -= 1
            raise errors.PlatformError(
                errors.Problem(code='SH301', message='answer lost')
            )
        return self._shared.objects[kind, name].version

    async def list_vms(self) -> tuple[int, list[platform.PlatformVm]]:
        await self._begin_call()
        return self._shared.revision, list(self._shared.vms.values())

    async def close(self) -> None:
        pass
