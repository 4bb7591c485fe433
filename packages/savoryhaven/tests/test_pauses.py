"""Detection of pauses of the process, and of packets unread since one."""

import doctest

from _savoryhaven.operation import pauses


def test_the_doctest_of_the_module_passes() -> None:
    assert not doctest.testmod(pauses, verbose=False).failed


def test_a_process_without_pauses_has_no_backlog() -> None:
    detector = pauses.PauseDetector(ran_at=0.0)
    for step in range(1, 100):
        assert detector.note_running(step * 0.25) == 0.0
        assert not detector.backlog


def test_the_backlog_lasts_until_all_packets_were_read() -> None:
    detector = pauses.PauseDetector(ran_at=0.0)
    assert detector.note_running(1.0) == 1.0
    assert detector.note_running(1.001) == 0.0
    assert detector.backlog
    detector.note_drained()
    assert not detector.backlog


def test_a_gap_too_short_to_leave_the_rotation_is_no_pause() -> None:
    detector = pauses.PauseDetector(ran_at=0.0)
    assert detector.note_running(0.45) == 0.0
    assert not detector.backlog


def test_a_backlog_ends_though_the_sockets_are_never_read_empty() -> None:
    """A saturated VM would else drop all openings after its first pause."""
    detector = pauses.PauseDetector(ran_at=0.0)
    detector.note_running(1.0)
    assert detector.note_wait(0.9, 1.0)
    assert detector.note_wait(0.3, 1.2)
    assert not detector.note_wait(0.3, 1.4)
    assert not detector.backlog
