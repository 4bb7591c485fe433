"""Loads of upstreams that VMs report to each other."""

import typing

import attrs

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import messages

# Loads are sent in sixteenths of a request.
LOAD_UNITS_PER_REQUEST = 16
# Loads in a heartbeat, at nine bytes each.
MAX_LOAD_REPORTS = 24


@attrs.define(repr=False)
class _Total:
    """All peers' loads at one upstream, in sixteenths of a request."""

    recent: int = 0
    lasting: int = 0


class PeerLoads:
    """Sums the loads that peers report, and lists this VM's own."""

    def __init__(self, catalogue: catalogue_module.Catalogue) -> None:
        self._catalogue: typing.Final = catalogue
        self._reports: dict[str, tuple[messages.LoadReport, ...]] = {}
        self._totals: dict[int, _Total] = {}

    def list_reporters(self) -> set[str]:
        """Return the VMs that have reported loads."""
        return set(self._reports)

    def replace_reports(
        self, vm_id: str, reports: tuple[messages.LoadReport, ...]
    ) -> None:
        """Replace the loads of a VM; upstreams that it omits count as idle."""
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
                state.reported_load = total.recent / LOAD_UNITS_PER_REQUEST
                state.reported_lasting = total.lasting / LOAD_UNITS_PER_REQUEST

    def list_own(self, now: float) -> tuple[messages.LoadReport, ...]:
        """Return this VM's loads, largest first."""
        reports = []
        for tag, state in self._catalogue.by_tag.items():
            state.update_averages(now)
            recent = round(state.recent_load * LOAD_UNITS_PER_REQUEST)
            lasting = round(state.lasting_load * LOAD_UNITS_PER_REQUEST)
            if recent or lasting:
                reports.append(messages.LoadReport(tag, recent, lasting))
        reports.sort(key=lambda report: -report.lasting)
        return tuple(reports[:MAX_LOAD_REPORTS])

    def _add(self, report: messages.LoadReport, sign: int) -> None:
        total = self._totals.setdefault(report.tag, _Total())
        total.recent += sign * report.recent
        total.lasting += sign * report.lasting
