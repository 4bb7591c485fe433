"""Merging of membership records, and doubt after pauses and isolation."""

import itertools
import random

import attrs
import hypothesis
from hypothesis import strategies
from nose2.tools import params

from _savoryhaven.tracking import membership
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import settings

State = messages.MemberState
SETTINGS = settings.MembershipSettings()


def make_record(
    vm_id: str = 'b',
    *,
    epoch: int = 1,
    incarnation: int = 0,
    state: State = State.ALIVE,
) -> messages.MemberRecord:
    return messages.MemberRecord(
        vm_id, 'd', '10.0.0.1:1', epoch, incarnation, state
    )


def make_members() -> membership.Members:
    return membership.Members(make_record('me'), SETTINGS, 0.0)


RECORDS = strategies.builds(
    make_record,
    epoch=strategies.integers(1, 3),
    incarnation=strategies.integers(0, 3),
    state=strategies.sampled_from(State),
)


@hypothesis.settings(max_examples=200, derandomize=True, database=None)
@hypothesis.given(strategies.lists(RECORDS, min_size=1, max_size=5))
def test_records_merge_to_the_same_result_in_any_order(
    records: list[messages.MemberRecord],
) -> None:
    outcomes = set()
    for order in itertools.islice(itertools.permutations(records), 24):
        members = make_members()
        for record in order:
            members.merge(record, 1.0)
        outcomes.add(members.get('b').record)
    assert len(outcomes) == 1


@params(
    (State.ALIVE, True, True),
    (State.SUSPECT, True, True),
    (State.LEAVING, False, True),
    (State.DEAD, False, False),
)
def test_a_state_decides_on_eligibility_and_reachability(
    state: State, eligible: bool, reachable: bool
) -> None:
    members = make_members()
    members.merge(make_record(state=state), 0.0)
    assert members.get('b').eligible is eligible
    assert members.get('b').reachable is reachable


def test_a_leaving_vm_that_misses_probes_is_declared_dead() -> None:
    members = make_members()
    members.merge(make_record(state=State.LEAVING), 0.0)
    members.suspect('b', 1.0)
    assert members.get('b').record.state is State.DEAD


def test_a_suspected_vm_is_declared_dead_after_the_timeout() -> None:
    members = make_members()
    members.merge(make_record(), 0.0)
    members.suspect('b', 10.0)
    members.expire(10.0 + SETTINGS.suspicion_s - 0.01)
    assert members.get('b').record.state is State.SUSPECT
    members.expire(10.0 + SETTINGS.suspicion_s)
    assert members.get('b').record.state is State.DEAD


def test_a_suspected_vm_refutes_with_a_new_incarnation() -> None:
    members = make_members()
    members.merge(make_record('me', state=State.SUSPECT), 1.0)
    assert members.me.incarnation == 1
    assert members.me.state is State.ALIVE


def test_a_later_process_supersedes_one_of_the_same_name() -> None:
    members = make_members()
    events: list[membership.Event] = []
    members.add_listener(lambda event, now: events.append(event))
    members.merge(make_record('me', epoch=9), 1.0)
    assert events == [membership.Superseded()]


def test_a_restarted_vm_departs_and_joins() -> None:
    members = make_members()
    members.merge(make_record(), 0.0)
    events: list[membership.Event] = []
    members.add_listener(lambda event, now: events.append(event))
    restarted = make_record(epoch=2)
    members.merge(restarted, 1.0)
    assert events == [
        membership.Departed(make_record()),
        membership.Joined(restarted, returned=False),
    ]


def test_a_record_is_gossiped_a_bounded_number_of_times() -> None:
    members = make_members()
    for number in range(20):
        members.merge(make_record(f'vm{number}'), 0.0)
    sent = 0
    while records := members.take_gossip():
        assert len(records) <= membership.GOSSIP_RECORDS_PER_MESSAGE
        sent += len(records)
    assert sent == 20 * membership.GOSSIP_REPEAT_FACTOR * 5


def test_dead_members_are_probed_only_on_request() -> None:
    members = make_members()
    members.merge(make_record(state=State.DEAD), 0.0)
    source = random.Random(1)
    alive = membership.pick_probe_target(members, source, only_dead=False)
    dead = membership.pick_probe_target(members, source, only_dead=True)
    assert alive is None
    assert dead.vm_id == 'b'


@attrs.frozen
class Step:
    """An event of a VM, and whether the VM counts as confirmed after it."""

    at: float
    kind: str
    confirmed: bool


PAUSE = (
    Step(0.5, 'tick', True),
    Step(9.0, 'look', False),
    Step(9.1, 'tick', False),
    # An answer to a probe from before the pause does not confirm.
    Step(9.2, 'old answer', False),
    Step(9.3, 'new answer', True),
)
ISOLATION = (
    *(Step(at / 10, 'tick', True) for at in range(30)),
    Step(3.1, 'tick', False),
    Step(3.2, 'new answer', True),
)


@params(PAUSE, ISOLATION)
def test_a_vm_is_confirmed_only_while_it_ticks_and_gets_answers(
    *steps: Step,
) -> None:
    local_health = membership.LocalHealth(SETTINGS, 0.0)
    for step in steps:
        match step.kind:
            case 'tick':
                local_health.tick(step.at)
            case 'old answer':
                local_health.confirm(0.4, step.at)
            case 'new answer':
                local_health.confirm(step.at - 0.05, step.at)
        found = local_health.is_confirmed(step.at, has_peers=True)
        assert found is step.confirmed, step
