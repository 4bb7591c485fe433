"""OpenTelemetry metrics, exported as Prometheus text."""

import enum
import typing

import attrs
from opentelemetry.exporter import prometheus as prometheus_exporter
from opentelemetry import metrics as metrics_api
from opentelemetry.sdk import metrics as metrics_sdk
from opentelemetry.sdk import resources
import prometheus_client
from prometheus_client import core

from _savoryhaven.telemetry import counters as counters_module

Observations = typing.Iterable[metrics_api.Observation]


@attrs.frozen
class Gauge:
    """A value that is read when metrics are exported."""

    name: str
    read: typing.Callable[[], float]
    description: str


@attrs.frozen
class HistogramSource:
    """A histogram that is read when metrics are exported."""

    name: str
    histogram: counters_module.Histogram
    description: str


class Meter:
    """Reads a VM's counters, gauges and histograms on export."""

    def __init__(
        self,
        instance_id: str,
        *,
        counts: typing.Iterable[enum.Enum],
        counters: typing.Mapping[enum.Enum, int],
        gauges: typing.Iterable[Gauge] = (),
        histograms: typing.Iterable[HistogramSource] = (),
    ) -> None:
        self._histograms: typing.Final = tuple(histograms)
        reader = prometheus_exporter.PrometheusMetricReader()
        resource = resources.Resource.create(
            {
                'service.name': 'savoryhaven',
                'service.instance.id': instance_id,
            }
        )
        self._provider: typing.Final = metrics_sdk.MeterProvider(
            metric_readers=[reader], resource=resource
        )
        meter = self._provider.get_meter('savoryhaven')
        for count in counts:
            meter.create_observable_counter(
                f'savoryhaven.{count.name.lower()}',
                callbacks=[_observe(_make_reader(counters, count))],
                description=count.value,
            )
        for gauge in gauges:
            meter.create_observable_gauge(
                f'savoryhaven.{gauge.name}',
                callbacks=[_observe(gauge.read)],
                description=gauge.description,
            )
        if self._histograms:
            prometheus_client.REGISTRY.register(self)

    def export(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return prometheus_client.generate_latest()

    def close(self) -> None:
        """Stop exporting."""
        if self._histograms:
            prometheus_client.REGISTRY.unregister(self)
        self._provider.shutdown()

    def collect(self) -> typing.Iterator[core.HistogramMetricFamily]:
        """Return the histograms; called by the registry.

        OpenTelemetry records single values as they occur; these were counted
        in buckets before its library was imported.
        """
        for source in self._histograms:
            yield _build_family(source)


def _build_family(source: HistogramSource) -> core.HistogramMetricFamily:
    cumulative = 0
    buckets = []
    bounds = [str(bound) for bound in source.histogram.bounds]
    for bound, count in zip(
        [*bounds, '+Inf'], source.histogram.counts, strict=True
    ):
        cumulative += count
        buckets.append((bound, cumulative))
    return core.HistogramMetricFamily(
        f'savoryhaven_{source.name}',
        source.description,
        buckets=buckets,
        sum_value=source.histogram.total,
    )


def _make_reader(
    counters: typing.Mapping[enum.Enum, int], count: enum.Enum
) -> typing.Callable[[], int]:
    return lambda: counters[count]


def _observe(
    read: typing.Callable[[], float],
) -> typing.Callable[[typing.Any], Observations]:
    def observe(options: typing.Any) -> Observations:
        return [metrics_api.Observation(read())]

    return observe
