"""HTTP pages for operators of a VM that balances by tags.

``GET /metrics`` (Prometheus text), ``GET /status`` and ``GET /dump``. The
metrics libraries are imported at the first request, in a thread: the import
takes half a second of CPU time on a small VM, and 6 MB.
"""

import asyncio
import json
import math
import typing

import attrs

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.model import upstreams
from _savoryhaven.operation import http
from _savoryhaven.placement import slow_start as slow_start_module
from _savoryhaven.telemetry import counters as counters_module

if typing.TYPE_CHECKING:
    from _savoryhaven.operation import node as node_module
    from _savoryhaven.telemetry import metrics


class OperatorPages:
    """Handles operators' requests to one VM."""

    def __init__(self, node: 'node_module.Node') -> None:
        self._node: typing.Final = node
        self._meter: metrics.Meter | None = None

    async def handle(self, method: str, path: str) -> http.Page:
        """Return the response to a request."""
        if method != 'GET':
            return http.Page(405, b'only GET\n')
        match path:
            case '/metrics':
                return http.Page(200, await self._export_metrics())
            case '/status':
                return _make_json(build_status(self._node))
            case '/dump':
                return _make_json(build_dump(self._node))
        return http.Page(404, b'pages: /metrics, /status, /dump\n')

    async def _export_metrics(self) -> bytes:
        if self._meter is None:
            self._meter = await asyncio.to_thread(_build_meter, self._node)
        return self._meter.export()


def _build_meter(node: 'node_module.Node') -> 'metrics.Meter':
    from _savoryhaven.telemetry import metrics

    forwarder = node.forwarder
    return metrics.Meter(
        node.settings.vm_id,
        counts=counters_module.Count,
        counters=node.counters,
        gauges=(
            metrics.Gauge('ready', lambda: node.is_ready(), 'takes packets'),
            metrics.Gauge(
                'flows', lambda: len(forwarder.flows), 'observed flows'
            ),
            metrics.Gauge(
                'configuration_version',
                lambda: node.routes.version,
                'version of the configuration in force',
            ),
            metrics.Gauge(
                'configuration_age_seconds',
                lambda: node.read_age(node.routes.confirmed_at),
                'time since the configuration was known to be the newest',
            ),
            metrics.Gauge(
                'catalogue_age_seconds',
                lambda: node.read_age(node.catalogue.confirmed_at),
                'time since the upstreams were known to be the newest',
            ),
            metrics.Gauge(
                'evacuated_domains',
                lambda: len(_list_evacuated(node)),
                'failure domains whose upstreams get no new flows',
            ),
            metrics.Gauge(
                'cold_upstreams',
                lambda: len(_list_cold(node)),
                'upstreams that get few new flows, as they are cold',
            ),
            metrics.Gauge(
                'peers',
                lambda: len(node.members.list_live(node.read_time())),
                'other VMs that were heard of lately',
            ),
        ),
        histograms=(
            metrics.HistogramSource(
                'answer_seconds',
                forwarder.answer_latency,
                'from a request to the first acknowledged byte of its answer',
            ),
            metrics.HistogramSource(
                'opening_seconds',
                forwarder.opening_latency,
                'from an opening to the next packet of its flow',
            ),
        ),
    )


def build_status(node: 'node_module.Node') -> dict[str, typing.Any]:
    """Return a summary of the VM's state; ages are in seconds."""
    now = node.read_time()
    return {
        'vm_id': node.settings.vm_id,
        'failure_domain': node.settings.failure_domain,
        'ready': node.is_ready(),
        'stopping': node.stopping,
        'configuration': node.routes.version,
        'configuration_age_s': _round(node.read_age(node.routes.confirmed_at)),
        'newer_configuration_unreadable': node.routes.newer_unreadable,
        'unreadable_fields': len(node.routes.findings),
        'catalogue_revision': node.catalogue.revision,
        'catalogue_age_s': _round(node.read_age(node.catalogue.confirmed_at)),
        'upstreams': len(node.catalogue.list_present()),
        'flows': len(node.forwarder.flows),
        'contested_flows': len(node.places),
        'evacuations': _describe_evacuations(node, now),
        'cold_upstreams': len(_list_cold(node)),
        'peers': sorted(
            member.address.vm_id for member in node.members.list_live(now)
        ),
    }


def _list_evacuated(
    node: 'node_module.Node',
) -> list[evacuations_module.Evacuation]:
    evacuations = node.evacuations
    return [] if evacuations is None else evacuations.list_domains()


def _list_cold(
    node: 'node_module.Node',
) -> list[slow_start_module.ColdUpstream]:
    if node.slow_start is None:
        return []
    return node.slow_start.list_cold(node.read_time())


def _describe_evacuations(
    node: 'node_module.Node', now: float
) -> dict[str, typing.Any] | None:
    """Return the evacuated failure domains, None if the feature is off.

    ``flows`` are the open flows through this VM whose upstreams are there;
    they stay until their clients or upstreams end them.
    """
    evacuations = node.evacuations
    if evacuations is None:
        return None
    domains = _list_evacuated(node)
    flows = node.forwarder.flows.count_by_domain() if domains else {}
    return {
        'position': evacuations.position,
        'age_s': _round(node.read_age(evacuations.confirmed_at)),
        'domains': [
            {
                'domain': item.domain,
                'for_s': round(now - item.since, 3),
                'position': item.position,
                'flows': flows.get(item.domain, 0),
            }
            for item in domains
        ],
    }


def build_dump(node: 'node_module.Node') -> dict[str, typing.Any]:
    """Return the whole state of the process; flows are only counted."""
    now = node.read_time()
    current = node.routes.current
    live = {member.address.vm_id for member in node.members.list_live(now)}
    return {
        'status': build_status(node),
        'settings': attrs.asdict(node.settings),
        'counters': {
            count.name.lower(): node.counters[count]
            for count in counters_module.Count
        },
        'routes': [
            {
                'name': route.name,
                'destination': list(route.destination),
                'backends': [attrs.asdict(b) for b in route.backends],
                'kind': route.kind.value,
            }
            for route in (current.routes.values() if current else ())
        ],
        'unreadable_fields': [
            attrs.asdict(finding) for finding in node.routes.findings
        ],
        'upstreams': [
            _describe_state(state, now)
            for state in node.catalogue.list_states()
        ],
        'cold_upstreams': [
            attrs.asdict(item) | {'remaining_s': round(item.remaining_s, 3)}
            for item in _list_cold(node)
        ],
        'members': [
            {**attrs.asdict(address), 'live': address.vm_id in live}
            for address in node.members.list_addresses()
        ],
    }


def _describe_state(
    state: catalogue_module.upstreams.UpstreamState, now: float
) -> dict[str, typing.Any]:
    return {
        **attrs.asdict(state.upstream),
        'tag': state.tag,
        'tag_taken': state.tag_taken,
        'outstanding': state.outstanding,
        'opening': state.opening,
        'reported_load': state.reported_load,
        'lasting_load': round(state.lasting_load, 3),
        'suspect': upstreams.is_suspect(state, now),
        'failures': state.failures,
        'removed': state.removed_at != math.inf,
        'lapsed': state.lapsed,
    }


def _round(age_s: float) -> float | None:
    return None if age_s == math.inf else round(age_s, 3)


def _make_json(value: typing.Any) -> http.Page:
    body = json.dumps(value, indent=1).encode() + b'\n'
    return http.Page(200, body, 'application/json')
