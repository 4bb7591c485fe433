"""The HTTP API for operators of a VM: status, dump, metrics and drain.

``GET /status``, ``GET /dump``, ``GET /metrics`` (Prometheus text) and
``POST /drain``, which starts the planned stop.
"""

import typing

from aiohttp import web

from _savoryhaven import addresses
from _savoryhaven.telemetry import metrics
from _savoryhaven.tracking import configuration as configuration_module
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import copies
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import schema


class OperatorApi:
    """Serves the operator address of one VM."""

    def __init__(
        self,
        context: context_module.Context,
        configuration: configuration_module.Configuration,
        meter: metrics.Meter,
        drain: typing.Callable[[], None],
        extend_dump: typing.Callable[[], list[dict[str, typing.Any]]],
    ) -> None:
        self._context: typing.Final = context
        self._configuration: typing.Final = configuration
        self._meter: typing.Final = meter
        self._drain: typing.Final = drain
        self._extend_dump: typing.Final = extend_dump
        self._runner: web.AppRunner | None = None

    async def open(self) -> None:
        """Bind the operator address."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/status', self._get_status),
                web.get('/dump', self._get_dump),
                web.get('/metrics', self._get_metrics),
                web.post('/drain', self._post_drain),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        address = addresses.parse_address(
            self._context.settings.operator_address
        )
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_status(self, request: web.Request) -> web.Response:
        return web.json_response(
            build_status(self._context, self._configuration)
        )

    async def _get_dump(self, request: web.Request) -> web.Response:
        dump = build_dump(self._context, self._configuration)
        for part in self._extend_dump():
            dump.update(part)
        return web.json_response(dump)

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._meter.export(), content_type='text/plain'
        )

    async def _post_drain(self, request: web.Request) -> web.Response:
        self._drain()
        return web.json_response({'state': 'leaving'})


def build_meter(context: context_module.Context) -> metrics.Meter:
    """Return the meter of a VM."""
    return metrics.Meter(
        context.vm_id,
        counts=counters.Count,
        counters=context.counters,
        gauges=(
            metrics.Gauge(
                'flows', lambda: len(context.flows), 'tracked flows'
            ),
            metrics.Gauge(
                'tombstones',
                lambda: len(context.tombstones),
                'remembered refusals',
            ),
            metrics.Gauge(
                'generation',
                lambda: context.routing.generation,
                'generation of the document in force',
            ),
            metrics.Gauge(
                'peers',
                lambda: len(context.members.list_peers()),
                'other VMs that are not dead',
            ),
        ),
    )


def build_status(
    context: context_module.Context,
    configuration: configuration_module.Configuration,
) -> dict[str, typing.Any]:
    """Return a summary of the state of a VM."""
    members = context.members
    now = context.clock.read_monotonic()
    return {
        'vm_id': context.vm_id,
        'failure_domain': context.settings.failure_domain,
        'state': members.me.state.name.lower(),
        'generation': context.routing.generation,
        'list_revision': context.routing.list_revision,
        'evacuated_domains': sorted(context.routing.evacuated_domains),
        'evacuations_revision': context.routing.evacuations_revision,
        'platform_reachable': context.platform_reachable,
        'reader': configuration.is_reader(),
        'in_doubt': context.local_health.in_doubt(now),
        'refused_document': configuration.refused,
        'flows': len(context.flows),
        'tombstones': len(context.tombstones),
        'members': {
            member.vm_id: member.record.state.name.lower()
            for member in members.list_members()
        },
    }


def build_dump(
    context: context_module.Context,
    configuration: configuration_module.Configuration,
) -> dict[str, typing.Any]:
    """Return the whole state of a VM, with counts in place of flows."""
    tables = context.routing.tables
    now = context.clock.read_monotonic()
    loads = {}
    services = tables.by_name.values() if tables else ()
    for table in services:
        for target in table.targets:
            loads[target.endpoint] = {
                'service': table.name,
                'own_flows': context.loads.own_flows[target.endpoint],
                'all_flows': context.loads.count(target),
            }
    return {
        'status': build_status(context, configuration),
        'settings': schema.dump(context.settings),
        'counters': context.counters.as_values(),
        'upstreams': loads,
        'reported_utilisations': context.loads.list_reported(),
        'silent_upstreams': context.loads.list_silent(now),
        'leaving_upstreams': sorted(context.routing.listed_leaving),
        'gone_domains': sorted(context.owners.gone_domains),
        'copies_held': dict(copies.count_copies(context)),
        'members': [
            {
                **schema.dump(member.record),
                'state': member.record.state.name.lower(),
                'knowledge': schema.dump(member.knowledge),
            }
            for member in context.members.list_members()
        ],
    }
