"""Loads of upstreams, as VMs report them to each other."""

import typing

import attrs

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import messages

# Loads are told in sixteenths of a request.
LOAD_UNIT = 16
# Upstreams told of with a heartbeat, at nine bytes each.
LOADS_TOLD = 24


@attrs.define(repr=False)
class _Total:
    """What all peers report of one upstream, in sixteenths of a request."""

    recent: int = 0
    lasting: int = 0


class PeerLoads:
    """Sums what peers report, and lists what this VM has to report."""

    def __init__(self, catalogue: catalogue_module.Catalogue) -> None:
        self._catalogue: typing.Final = catalogue
        self._reports: dict[str, tuple[messages.LoadReport, ...]] = {}
        self._totals: dict[int, _Total] = {}

    def list_reporters(self) -> set[str]:
        """Return the VMs whose reports count."""
        return set(self._reports)

    def take(
        self, vm_id: str, reports: tuple[messages.LoadReport, ...]
    ) -> None:
        """Replace what a VM reported; its absence counts as no load."""
        before = self._reports.pop(vm_id, ())
        for report in before:
            self._add(report, -1)
        for report in reports:
            self._add(report, 1)
        if reports:
            self._reports[vm_id] = reports
        for tag in {report.tag for report in (*before, *reports)}:
            state = self._catalogue.by_tag.get(tag)
            if state is not None:
                total = self._totals[tag]
                state.reported_load = total.recent / LOAD_UNIT
                state.reported_lasting = total.lasting / LOAD_UNIT

    def list_own(self, now: float) -> tuple[messages.LoadReport, ...]:
        """Return this VM's loads, the largest ones first."""
        reports = []
        for tag, state in self._catalogue.by_tag.items():
            state.update_averages(now)
            recent = round(state.recent_load * LOAD_UNIT)
            lasting = round(state.lasting_load * LOAD_UNIT)
            if recent or lasting:
                reports.append(messages.LoadReport(tag, recent, lasting))
        reports.sort(key=lambda report: -report.lasting)
        return tuple(reports[:LOADS_TOLD])

    def _add(self, report: messages.LoadReport, sign: int) -> None:
        total = self._totals.setdefault(report.tag, _Total())
        total.recent += sign * report.recent
        total.lasting += sign * report.lasting
