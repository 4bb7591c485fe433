"""A fake platform in memory, and a client of it."""

import asyncio
import collections
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
        # Calls about all objects of a kind, by kind.
        self.kind_calls: collections.Counter[str] = collections.Counter()
        self.kind_revisions: collections.Counter[str] = collections.Counter()

    def put_vm(self, vm: platform.PlatformVm) -> None:
        self.vms[vm.vm_id] = vm
        self.revision += 1

    def remove_vm(self, vm_id: str) -> None:
        self.vms.pop(vm_id, None)
        self.revision += 1

    def store(self, value: typing.Any) -> None:
        """Store a document without checking it."""
        self.put('routing', 'document', value)

    def put(self, kind: str, name: str, value: typing.Any) -> None:
        """Store an object."""
        stored = self.objects.get((kind, name))
        version = str(int(stored.version) + 1) if stored else '1'
        self.objects[kind, name] = platform.StoredObject(
            version, json.loads(json.dumps(value))
        )
        self.kind_revisions[kind] += 1

    def delete(self, kind: str, name: str) -> bool:
        """Delete an object; return whether there was one."""
        deleted = self.objects.pop((kind, name), None) is not None
        self.kind_revisions[kind] += deleted
        return deleted

    def list_names(self, kind: str) -> platform.ObjectNames:
        """Return the names of all objects of a kind."""
        names = sorted(name for found, name in self.objects if found == kind)
        return platform.ObjectNames(
            revision=self.kind_revisions[kind], names=tuple(names)
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
        self._shared.put(kind, name, value)
        self._end_write()
        return self._shared.objects[kind, name].version

    def _end_write(self) -> None:
        if self._shared.lost_answers > 0:
            self._shared.lost_answers -= 1
            raise errors.PlatformError(
                errors.Problem(code='SH301', message='answer lost')
            )

    async def delete_object(self, kind: str, name: str) -> bool:
        await self._begin_call()
        deleted = self._shared.delete(kind, name)
        self._end_write()
        return deleted

    async def list_objects(self, kind: str) -> platform.ObjectNames:
        self._shared.kind_calls[kind] += 1
        await self._begin_call()
        return self._shared.list_names(kind)

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> platform.ObjectNames | None:
        self._shared.kind_calls[kind] += 1
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            await self._begin_call()
            found = self._shared.list_names(kind)
            silent = self._shared.silent_watches and wait_s > 0
            if found.revision != revision and not silent:
                return found
            if loop.time() >= until:
                return None
            await asyncio.sleep(0.02)

    async def list_vms(self) -> tuple[int, list[platform.PlatformVm]]:
        await self._begin_call()
        return self._shared.revision, list(self._shared.vms.values())

    async def close(self) -> None:
        pass
