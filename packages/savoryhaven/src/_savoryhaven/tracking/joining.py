"""Joining: a VM fetches members and document before it serves."""

import asyncio
import typing

from loguru import logger

from _savoryhaven import errors
from _savoryhaven.tracking import configuration as configuration_module
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import messages

JOIN_TIMEOUT_S = 5.0
JOIN_RETRY_S = 0.1
# Listed VMs may be dead. Live ones answer within two round trips of about
# 10 ms, and callers wait meanwhile.
INTRODUCTION_TIMEOUT_S = 0.3

RequestAt = typing.Callable[
    [str, messages.Message], typing.Awaitable[messages.Message]
]


class Joining:
    """Takes a VM from its start to the point where it may own buckets."""

    def __init__(
        self,
        context: context_module.Context,
        configuration: configuration_module.Configuration,
        request_at: RequestAt,
    ) -> None:
        self._context: typing.Final = context
        self._configuration: typing.Final = configuration
        self._request_at: typing.Final = request_at

    async def run(self, stopping: asyncio.Event) -> None:
        """Fetch members and document, unless the VM stops first."""
        context = self._context
        me = context.members.me
        seeds = [
            seed for seed in context.settings.seeds if seed != me.peer_address
        ]
        started_at = context.clock.read_monotonic()
        joined: list[str] = []
        while not stopping.is_set():
            for seed in seeds:
                message = self._configuration.make_join()
                if (
                    await self._fetch_from(seed, message)
                    and seed not in joined
                ):
                    joined.append(seed)
            waited = context.clock.read_monotonic() - started_at
            complete = joined or not seeds or waited > JOIN_TIMEOUT_S
            if complete and await self._has_document():
                break
            await asyncio.sleep(JOIN_RETRY_S)
        await self._introduce(joined)

    async def _introduce(self, seeds: list[str]) -> None:
        """Send this VM's record to the seeds and to some listed VMs.

        All starting VMs pick the same listed VMs. Of VMs that start
        together, a later one gets the records of the earlier ones there.
        """
        listed = await self._configuration.list_introduction_addresses()
        message = self._configuration.make_introduction()
        fetches = [
            asyncio.create_task(self._fetch_from(address, message))
            for address in dict.fromkeys((*seeds, *listed))
        ]
        if fetches:
            await asyncio.wait(fetches, timeout=INTRODUCTION_TIMEOUT_S)
        for task in fetches:
            task.cancel()

    async def _fetch_from(self, address: str, message: messages.Fetch) -> bool:
        """Fetch from a VM and apply its answer; return success."""
        try:
            update = await self._request_at(address, message)
            self._configuration.apply_update(update, address)
        except errors.SavoryhavenError as exc:
            logger.debug(
                'fetch from {} failed while joining: {}', address, exc
            )
            return False
        return True

    async def _has_document(self) -> bool:
        """Read the platform; return whether a document is in force."""
        context = self._context
        try:
            await self._configuration.read_now()
            if context.settings.platform.evacuation:
                await self._configuration.read_evacuations_now()
        except errors.PlatformError as exc:
            logger.debug('joining without the platform: {}', exc)
        return context.routing.tables is not None
