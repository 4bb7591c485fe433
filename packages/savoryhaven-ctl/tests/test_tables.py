"""Tables of VMs."""

from _savoryhaven_ctl import tables


def test_evacuations_are_counted_over_all_vms_that_answered() -> None:
    evacuated = {'evacuations': {'domains': [{'domain': 'a'}]}}
    statuses = [evacuated, evacuated, {'evacuations': None}, {}]
    assert tables.summarize_evacuations(statuses) == [
        'a: evacuated on 2 of 4 VMs'
    ]
