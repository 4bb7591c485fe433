"""How a VM joins: it learns members and document before it serves."""

import asyncio
import typing

from loguru import logger

from _savoryhaven import errors
from _savoryhaven.tracking import configuration as configuration_module
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import messages

JOIN_TIMEOUT_S = 5.0
JOIN_RETRY_S = 0.1
# Listed VMs may be dead. Living ones answer within two round trips of some
# 10 ms; callers wait meanwhile.
INTRODUCTION_S = 0.3

RequestAt = typing.Callable[
    [str, messages.Message], typing.Awaitable[messages.Message]
]


class Joining:
    """The steps from an empty VM to one that may own buckets."""

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
        """Learn the members and the document, unless the VM stops first."""
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
                if await self._ask(seed, message) and seed not in joined:
                    joined.append(seed)
            waited = context.clock.read_monotonic() - started_at
            complete = joined or not seeds or waited > JOIN_TIMEOUT_S
            if complete and await self._has_document():
                break
            await asyncio.sleep(JOIN_RETRY_S)
        await self._introduce(joined)

    async def _introduce(self, seeds: list[str]) -> None:
        """Say that this VM is about to own buckets, where all others do.

        Of VMs that start together, the one that comes later learns there of
        those that came before it.
        """
        listed = await self._configuration.list_meeting_points()
        message = self._configuration.make_introduction()
        asked = [
            asyncio.create_task(self._ask(address, message))
            for address in dict.fromkeys((*seeds, *listed))
        ]
        if asked:
            await asyncio.wait(asked, timeout=INTRODUCTION_S)
        for task in asked:
            task.cancel()

    async def _ask(self, address: str, message: messages.Fetch) -> bool:
        """Take in what a VM knows; return whether it answered."""
        try:
            update = await self._request_at(address, message)
            self._configuration.take_update(update, address)
        except errors.SavoryhavenError as exc:
            logger.debug('{} does not help to join: {}', address, exc)
            return False
        return True

    async def _has_document(self) -> bool:
        """Return whether there is a document, asking the platform too."""
        try:
            await self._configuration.read_now()
        except errors.PlatformError as exc:
            logger.debug('joining without the platform: {}', exc)
        return self._context.routing.tables is not None
