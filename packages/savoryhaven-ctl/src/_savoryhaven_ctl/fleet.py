"""Queries the status of entry VMs, found through the platform's list."""

import asyncio
import typing

import aiohttp
import attrs

from _savoryhaven import errors
from _savoryhaven.tracking import platform

ANSWER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1


@attrs.frozen
class VmStatus:
    """One VM and its answer; ``status`` is None if there was none."""

    vm_id: str
    state: str
    failure_domain: str
    operator_address: str
    status: dict[str, typing.Any] | None

    @property
    def generation(self) -> int:
        """Return the generation in force there, 0 if it did not answer."""
        return self.status['generation'] if self.status else 0


class Fleet:
    """All entry VMs on the platform's list."""

    def __init__(self, client: platform.HttpPlatform) -> None:
        self._client: typing.Final = client

    async def list_vms(self) -> list[platform.PlatformVm]:
        """Return the entry VMs on the list; raises ``PlatformError``."""
        _, vms = await self._client.list_vms()
        return [vm for vm in vms if vm.role == 'entry']

    async def read_statuses(self) -> list[VmStatus]:
        """Return the status of every entry VM."""
        vms = await self.list_vms()
        async with aiohttp.ClientSession() as session:
            reads = [_read_status(session, vm) for vm in vms]
            return list(await asyncio.gather(*reads))

    async def wait_for(self, generation: int, timeout_s: float) -> list[str]:
        """Wait until all live VMs have a generation in force.

        Returns the names of those that don't have it after the timeout.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            behind = [
                found.vm_id
                for found in await self.read_statuses()
                if found.state == 'live' and found.generation < generation
            ]
            if not behind or loop.time() >= deadline:
                return behind
            await asyncio.sleep(POLL_INTERVAL_S)

    async def call(
        self, vm_id: str, method: str, path: str
    ) -> dict[str, typing.Any]:
        """Send a request to a VM's operator address.

        Raises ``OperatorError`` if it does not answer.
        """
        address = await self._find_address(vm_id)
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.request(
                    method, f'http://{address}{path}'
                ) as answer:
                    return await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise _make_error(
                'SH506', f'{vm_id} does not answer: {exc!r}'
            ) from exc

    async def _find_address(self, vm_id: str) -> str:
        if ':' in vm_id:
            return vm_id
        for vm in await self.list_vms():
            if vm.vm_id == vm_id:
                return vm.operator_address
        raise _make_error('SH507', f'{vm_id} is not on the platform\'s list')


async def read_statuses_at(
    addresses: typing.Iterable[str],
) -> dict[str, dict[str, typing.Any] | None]:
    """Return the status of VMs by operator address, None for no answer."""
    requested = list(addresses)
    async with aiohttp.ClientSession() as session:
        statuses = await asyncio.gather(
            *(_fetch_status(session, address) for address in requested)
        )
    return dict(zip(requested, statuses, strict=True))


async def _read_status(
    session: aiohttp.ClientSession, vm: platform.PlatformVm
) -> VmStatus:
    status = await _fetch_status(session, vm.operator_address)
    return VmStatus(
        vm.vm_id, vm.state, vm.failure_domain, vm.operator_address, status
    )


async def _fetch_status(
    session: aiohttp.ClientSession, address: str
) -> dict[str, typing.Any] | None:
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
    try:
        async with session.get(
            f'http://{address}/status', timeout=timeout
        ) as answer:
            return await answer.json()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        # The caller reports that there was no answer.
        return None


def _make_error(code: str, message: str) -> errors.OperatorError:
    return errors.OperatorError(
        errors.Problem(code=code, message=message, hint='see status')
    )
