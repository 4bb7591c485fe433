"""The report of a day: an HTML page with a table and plots."""

import io
import typing

import jinja2
from matplotlib import figure
import numpy

from savoryhaven_standins.experiments import play

# Requests are counted in windows of this length.
WINDOW_S = 1.0
_COLOURS: typing.Final = {
    play.Ending.SERVED: '#2a9d5c',
    play.Ending.LATE: '#e9a820',
    play.Ending.REFUSED: '#5a7fb5',
    play.Ending.UNANSWERED: '#8d5ab5',
    play.Ending.RESET: '#c0392b',
    play.Ending.WRONG_ANSWER: '#000000',
}
_PAGE: typing.Final = jinja2.Template(
    """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem;
  margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; }
th, td { padding: .2rem .8rem; border-bottom: 1px solid #ccc;
  text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { width: 100%; height: auto; }
</style></head><body>
<h1>{{ title }}</h1>
<p>{{ summary }}</p>
<table><tr>{% for name in head %}<th>{{ name }}</th>{% endfor %}</tr>
{% for row in rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>
{% endfor %}</tr>{% endfor %}</table>
{% for plot in plots %}{{ plot | safe }}{% endfor %}
<h2>Faults</h2>
<ul>{% for span in spans %}<li>{{ '%.1f' | format(span.began_s) }} s to
{{ '%.1f' | format(span.ended_s) }} s: {{ span.what }}</li>{% endfor %}</ul>
</body></html>
""",
    autoescape=True,
)

HEAD: typing.Final = (
    'service',
    'requests',
    *(ending.value for ending in play.Ending),
    'median',
    '99th percentile',
)


def build_rows(result: play.Result) -> list[list[str]]:
    """Return the cells of the table, one row for each service.

    Latencies include served requests only.
    """
    rows = []
    for service, counts in play.count_endings(result.requests).items():
        served = [
            request.latency_s
            for request in result.requests
            if request.service == service
            and request.ending is play.Ending.SERVED
        ]
        latencies = ['-', '-']
        if served:
            latencies = [
                f'{value * 1000:.0f} ms'
                for value in numpy.percentile(served, (50, 99))
            ]
        numbers = [str(counts[ending]) for ending in play.Ending]
        rows.append([service, str(counts.total()), *numbers, *latencies])
    return rows


def build_page(result: play.Result, title: str) -> str:
    """Return the report as a self-contained HTML page."""
    day = result.day
    summary = (
        f'{day.seconds:g} s with {day.vms} VMs, seed {day.seed}; '
        f'{len(result.misrouted)} packets at a wrong upstream, '
        f'{len(result.ran_repeatedly)} requests ran more than once.'
    )
    return _PAGE.render(
        title=title,
        summary=summary,
        head=HEAD,
        rows=build_rows(result),
        plots=[_plot_endings(result), _plot_loads(result)],
        spans=sorted(result.spans, key=lambda span: span.began_s),
    )


def _plot_endings(result: play.Result) -> str:
    """Plot the outcomes of requests by the window of their start."""
    last_s = max((r.at_s for r in result.requests), default=0.0)
    edges = numpy.arange(0.0, last_s + 2 * WINDOW_S, WINDOW_S)
    counts = [
        numpy.histogram(
            [r.at_s for r in result.requests if r.ending is ending], edges
        )[0]
        for ending in play.Ending
    ]
    plot = figure.Figure(figsize=(10, 3.5), layout='constrained')
    axes = plot.subplots()
    axes.stackplot(
        edges[:-1],
        counts,
        labels=[ending.value for ending in play.Ending],
        colors=[_COLOURS[ending] for ending in play.Ending],
        step='post',
    )
    axes.set(xlabel='seconds', ylabel=f'requests in {WINDOW_S:g} s')
    plot.legend(loc='outside upper center', fontsize='small', ncols=6)
    _mark_spans(axes, result)
    return _render(plot)


def _plot_loads(result: play.Result) -> str:
    """Plot the pending requests of each upstream."""
    plot = figure.Figure(figsize=(10, 3.5), layout='constrained')
    axes = plot.subplots()
    names = {name for sample in result.samples for name in sample.loads}
    for name in sorted(names):
        axes.plot(
            [sample.at_s for sample in result.samples],
            [sample.loads.get(name, numpy.nan) for sample in result.samples],
            label=name,
            linewidth=1.0,
        )
    axes.set(xlabel='seconds', ylabel='pending requests')
    if names:
        plot.legend(loc='outside right upper', fontsize='x-small')
    _mark_spans(axes, result)
    return _render(plot)


def _mark_spans(axes: typing.Any, result: play.Result) -> None:
    for span in result.spans:
        axes.axvspan(span.began_s, span.ended_s, color='#000000', alpha=0.07)


def _render(plot: figure.Figure) -> str:
    """Return a figure as an SVG element."""
    drawing = io.StringIO()
    plot.savefig(drawing, format='svg')
    text = drawing.getvalue()
    return text[text.index('<svg') :]
