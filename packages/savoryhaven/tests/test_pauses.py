"""Pauses of the process, and the packets that waited meanwhile."""

import doctest

from _savoryhaven.operation import pauses


def test_the_example_of_the_module_holds() -> None:
    assert not doctest.testmod(pauses, verbose=False).failed


def test_a_process_that_runs_all_the_time_has_no_backlog() -> None:
    detector = pauses.PauseDetector(ran_at=0.0)
    for step in range(1, 100):
        assert detector.note_running(step * 0.25) == 0.0
        assert not detector.backlog


def test_what_waited_is_told_apart_until_all_of_it_was_read() -> None:
    detector = pauses.PauseDetector(ran_at=0.0)
    assert detector.note_running(1.0) == 1.0
    assert detector.note_running(1.001) == 0.0
    assert detector.backlog
    detector.note_drained()
    assert not detector.backlog


def test_a_pause_that_keeps_a_vm_in_rotation_is_none() -> None:
    detector = pauses.PauseDetector(ran_at=0.0)
    assert detector.note_running(0.45) == 0.0
    assert not detector.backlog
