"""Collection of the load reports of upstreams.

An upstream with a ``report`` address answers ``GET /load`` with
``{"running": 2, "waiting": 0}``. Two VMs of its failure domain read it and
send the result to the other VMs.
"""

import asyncio
import typing

import aiohttp
import attrs
import xxhash

from _savoryhaven import errors
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import placement
from _savoryhaven.tracking import schema

READ_INTERVAL_S = 1.0
READ_TIMEOUT_S = 0.8
READERS_PER_UPSTREAM = 2


@attrs.frozen(kw_only=True)
class UpstreamLoad:
    """The load report of an upstream."""

    running: int = schema.number(minimum=0, maximum=1_000_000, unit='requests')
    waiting: int = schema.number(
        default=0, minimum=0, maximum=1_000_000, unit='requests'
    )


class LoadReportCollector:
    """Reads the reports of the upstreams in this VM's failure domain."""

    def __init__(self, context: context_module.Context) -> None:
        self._context: typing.Final = context
        self._new_utilisations: dict[str, float] = {}

    def take_utilisations(self) -> dict[str, float]:
        """Return the utilisations that were read since the last call."""
        utilisations, self._new_utilisations = self._new_utilisations, {}
        return utilisations

    async def run(self) -> None:
        """Read all reports at intervals until cancelled."""
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(READ_INTERVAL_S)
                reads = [
                    self._read(session, target)
                    for target in self._list_targets()
                ]
                await asyncio.gather(*reads)
                now = self._context.clock.read_monotonic()
                self._context.loads.expire(now)

    def _list_targets(self) -> list[placement.Target]:
        tables = self._context.routing.tables
        if tables is None:
            return []
        domain = self._context.settings.failure_domain
        return [
            target
            for table in tables.by_name.values()
            for target in table.targets
            if target.report and target.failure_domain == domain
            if self._is_reader(target)
        ]

    def _is_reader(self, target: placement.Target) -> bool:
        """Return whether this VM reads the report of an upstream."""
        context = self._context
        domain = context.settings.failure_domain
        vm_ids = [m.vm_id for m in context.members.list_eligible(domain)]
        digest = xxhash.xxh64_intdigest(target.endpoint.encode())
        ranked = placement.rank_vms(vm_ids, digest)
        return context.vm_id in ranked[:READERS_PER_UPSTREAM]

    async def _read(
        self, session: aiohttp.ClientSession, target: placement.Target
    ) -> None:
        """Read one report; ignore an upstream whose report fails."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        url = f'http://{target.report}/load'
        try:
            async with session.get(url, timeout=timeout) as answer:
                value = await answer.json(content_type=None)
            load = schema.load(
                value,
                UpstreamLoad,
                code='SH404',
                error=errors.PeerError,
            )
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            errors.PeerError,
        ):
            return
        now = self._context.clock.read_monotonic()
        utilisation = (load.running + load.waiting) / target.slots
        self._context.loads.note_report(target.endpoint, utilisation, now)
        self._new_utilisations[target.endpoint] = utilisation
