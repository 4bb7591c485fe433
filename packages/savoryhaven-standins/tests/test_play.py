"""Tests of days that run on real VMs."""

import asyncio
import pathlib
import tempfile

from savoryhaven_standins.experiments import __main__ as command
from savoryhaven_standins.experiments import days
from savoryhaven_standins.experiments import play

# All faults of VMs, upstreams and the store, within a few seconds.
SHORT_DAY = """{
  "seconds": 7, "seed": 90, "vms": 2, "work_s": 0.02,
  "faults": [
    {"what": "kill_vm", "at_s": 1, "vm": "vm-1", "for_s": 0.2},
    {"what": "spoil_store", "at_s": 2, "mode": "busy", "for_s": 1},
    {"what": "crash_upstream", "at_s": 3, "service": "desk", "for_s": 0.5},
    {"what": "spoil_link", "at_s": 3, "vm": "vm-2", "link": "reset",
     "for_s": 0.5},
    {"what": "drain_upstream", "at_s": 4, "service": "vault", "for_s": 1.5},
    {"what": "burst", "at_s": 4, "factor": 2, "for_s": 1},
    {"what": "pause_vm", "at_s": 5, "vm": "vm-2", "for_s": 0.3},
    {"what": "stop_vm", "at_s": 6, "vm": "vm-1", "for_s": 0.1},
  ],
}"""


def test_day_with_faults_has_no_violations() -> None:
    day = days.parse_day(SHORT_DAY)
    result = asyncio.run(play.Player(day).run())
    assert len(result.spans) == len(day.faults)
    assert not result.misrouted
    assert not result.ran_repeatedly
    counts = play.count_endings(result.requests)
    for service in day.upstreams:
        assert counts[service][play.Ending.SERVED] > 30, counts
        assert not counts[service][play.Ending.WRONG_ANSWER]
    assert {name for s in result.samples for name in s.loads}


def test_command_writes_report() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        day = folder / 'calm.json'
        day.write_text('{"seconds": 2, "seed": 91, "vms": 1}')
        page = folder / 'out' / 'calm.html'
        assert command.main([str(day), '--report', str(page)]) == 0
        assert '<svg' in page.read_text()
        day.write_text('{}')
        assert command.main([str(day)]) == command.EXIT_USAGE
