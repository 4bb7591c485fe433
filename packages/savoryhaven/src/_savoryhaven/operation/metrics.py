"""Metrics by OpenTelemetry, exported as Prometheus text."""

import typing

from opentelemetry.exporter import prometheus as prometheus_exporter
from opentelemetry import metrics as metrics_api
from opentelemetry.sdk import metrics as metrics_sdk
from opentelemetry.sdk import resources
import prometheus_client

from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import counters

Observations = typing.Iterable[metrics_api.Observation]


class Meter:
    """Reads a VM's counters and gauges when they are exported."""

    def __init__(self, context: context_module.Context) -> None:
        self._context: typing.Final = context
        reader = prometheus_exporter.PrometheusMetricReader()
        resource = resources.Resource.create(
            {
                'service.name': 'savoryhaven',
                'service.instance.id': context.vm_id,
            }
        )
        provider = metrics_sdk.MeterProvider(
            metric_readers=[reader], resource=resource
        )
        self._provider = provider
        self._register(provider.get_meter('savoryhaven'))

    def export(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return prometheus_client.generate_latest()

    def close(self) -> None:
        """Stop exporting."""
        self._provider.shutdown()

    def _register(self, meter: metrics_api.Meter) -> None:
        for count in counters.Count:
            meter.create_observable_counter(
                f'savoryhaven.{count.name.lower()}',
                callbacks=[self._observe_count(count)],
                description=count.value,
            )
        gauges = {
            'flows': (lambda: len(self._context.flows), 'tracked flows'),
            'tombstones': (
                lambda: len(self._context.tombstones),
                'remembered refusals',
            ),
            'generation': (
                lambda: self._context.routing.generation,
                'generation of the document in force',
            ),
            'peers': (
                lambda: len(self._context.members.list_peers()),
                'other VMs that are not dead',
            ),
        }
        for name, (read, description) in gauges.items():
            meter.create_observable_gauge(
                f'savoryhaven.{name}',
                callbacks=[_observe(read)],
                description=description,
            )

    def _observe_count(
        self, count: counters.Count
    ) -> typing.Callable[[typing.Any], Observations]:
        return _observe(lambda: self._context.counters[count])


def _observe(
    read: typing.Callable[[], int],
) -> typing.Callable[[typing.Any], Observations]:
    def observe(options: typing.Any) -> Observations:
        return [metrics_api.Observation(read())]

    return observe
