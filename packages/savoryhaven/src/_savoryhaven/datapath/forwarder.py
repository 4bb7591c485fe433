"""Places packets of flows: by their tag, or at a new flow's upstream.

A packet of an open flow carries its upstream's tag, so any VM can place it
without state of its own. Only the first packet of a flow needs a decision.
"""

import math
import random
import typing

import attrs

from _savoryhaven.datapath import flows as flows_module
from _savoryhaven.datapath import openings as openings_module
from _savoryhaven.datapath import packets
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import records
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.operation import counters as counters_module
from _savoryhaven.operation import events as events_module
from _savoryhaven.placement import admission
from _savoryhaven.placement import answers
from _savoryhaven.placement import selection
from _savoryhaven.placement import upstreams

# A route that is not known is missing for sure only while what is known of
# the configuration is no older, in seconds; a change is in force within 3 s.
CERTAIN_ROUTES_S = 1.5
# An upstream's last answers may be acknowledged so long after its entry is
# gone, in seconds: round trips, and a client's own delay.
LAST_ANSWER_S = 0.1
# A request without an answer counts as load for so many times its route's
# target. Most that wait longer are answered past this VM: when VMs come and
# go, the fabric hands nearly all flows to other ones.
PATIENCE_TARGETS = 2.0
# The same without a route, in seconds: a few targets.
ORPHAN_PATIENCE_S = 2.0
# Flows that a VM observes: at 365 B each they take 7.3 of its 25 MB.
FLOW_LIMIT = 20_000
OPENING_LIMIT = 5_000

_Count = counters_module.Count
# Looked up once: members of an enumeration are no plain attributes.
_FORWARDED: typing.Final = _Count.FORWARDED
Send = typing.Callable[[bytes, tuple[str, int]], None]


@attrs.frozen(eq=False, repr=False)
class Outlets:
    """Where packets go: to an address, and back to the client of a flow.

    ``ask_for_tag`` asks other VMs for the upstream of a tag, at a time.
    """

    send: Send
    send_to_client: typing.Callable[[bytes, packets.FlowKey], None]
    ask_for_tag: typing.Callable[[int, float], None]


class Forwarder:
    """Decides about each packet of one VM."""

    def __init__(
        self,
        *,
        codec: packets.PacketCodec,
        routes: routes_module.Routes,
        catalogue: catalogue_module.Catalogue,
        outlets: Outlets,
        failure_domain: str,
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
    ) -> None:
        self._codec: typing.Final = codec
        self._routes: typing.Final = routes
        self._catalogue: typing.Final = catalogue
        self._outlets: typing.Final = outlets
        self._failure_domain: typing.Final = failure_domain
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self.flows: typing.Final = flows_module.FlowTable(FLOW_LIMIT)
        self.openings: typing.Final = openings_module.Openings(OPENING_LIMIT)
        self._service_times: dict[records.Destination, admission.ServiceTime]
        self._service_times = {}
        self._answer_lengths: dict[records.Destination, answers.AnswerLengths]
        self._answer_lengths = {}
        self.answer_latency: typing.Final = counters_module.Histogram()
        self.opening_latency: typing.Final = counters_module.Histogram()

    def receive(self, raw: bytes, now: float, *, waited: bool = False) -> None:
        """Handle a packet from a client.

        ``waited`` is whether it arrived while the process was paused.
        """
        packet = self._codec.decode(raw)
        if packet is None:
            self._counters[_Count.DROPPED_MALFORMED] += 1
        elif packet.opening and waited:
            self._drop_waited(packet, now)
        elif packet.opening:
            self._receive_opening(packet, now)
        else:
            self._receive_later(packet, now)

    def expire(self, now: float) -> None:
        """Forget openings and flows whose time is over."""
        self.openings.expire(now)
        current = self._routes.current
        if current is not None:
            self.flows.expire(
                now,
                idle_s=current.idle_timeout_s,
                read_patience=self._read_patience,
            )

    def _read_patience(self, key: packets.FlowKey) -> float:
        """Return how long a request may go without an answer, in seconds.

        An open flow may outlive its route.
        """
        route = self._routes.find(key)
        if route is None:
            return ORPHAN_PATIENCE_S
        return min(route.timeout_s, PATIENCE_TARGETS * route.target_latency_s)

    def _receive_later(self, packet: packets.FlowPacket, now: float) -> None:
        """Forward a packet of an open flow to the flow's upstream."""
        key = packet.key
        state = self._catalogue.by_tag.get(packet.tag)
        if len(self.openings):
            self._settle_opening(packet, state, now)
        known = self.flows.get(key)
        if known is not None and known.requests and state is not known.state:
            # A late answer to a copy of the opening changed the tag.
            state = known.state
        if state is None:
            self._drop_unknown(packet, now)
            return
        if state.removed_at != math.inf and self._reset_ended(
            packet, state, now
        ):
            return
        self._outlets.send(state.prefix + packet.raw, state.sockaddr)
        self._counters[_FORWARDED] += 1
        seen = self.flows.observe(known, packet, state, now)
        if seen is None:
            self._counters[_Count.FLOWS_UNOBSERVED] += 1
        elif seen is not flows_module.NOTHING_NEW:
            self._note_request(packet, state, seen, now)

    def _settle_opening(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState | None,
        now: float,
    ) -> None:
        """Note that an opening was answered, at the first packet after it."""
        opening = self.openings.settle(packet.key, now)
        if opening is not None and state is not None:
            state.note_answer(now)
            self.opening_latency.record(now - opening.first_sent_at)

    def _note_request(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        seen: flows_module.Observation,
        now: float,
    ) -> None:
        if seen.latency_s >= 0:
            self._counters[_Count.ANSWERED] += 1
            self.answer_latency.record(seen.latency_s)
            self._service_times.setdefault(
                packet.key[2:], admission.ServiceTime()
            ).record(seen.latency_s, seen.load_met)
        if seen.answer_bytes >= 0:
            self._note_length(packet, state, seen.answer_bytes, now)
        if seen.begins_request:
            self._events.emit(
                'request_forwarded',
                request_id=self._codec.find_request_id(packet),
                flow=packets.format_flow(packet.key),
                upstream=state.upstream.upstream_id,
                number=seen.requests,
                upstream_requests=state.outstanding,
            )

    def _note_length(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        answer_bytes: int,
        now: float,
    ) -> None:
        lengths = self._answer_lengths.setdefault(
            packet.key[2:], answers.AnswerLengths()
        )
        usual_bytes = lengths.value
        if not lengths.record(answer_bytes):
            return
        state.note_failed_answer(now)
        self._counters[_Count.SHORT_ANSWERS] += 1
        self._events.emit(
            'answer_short',
            flow=packets.format_flow(packet.key),
            upstream=state.upstream.upstream_id,
            answer_bytes=answer_bytes,
            usual_bytes=round(usual_bytes),
            upstream_load=round(state.lasting_load, 3),
        )

    def _drop_unknown(self, packet: packets.FlowPacket, now: float) -> None:
        """Drop a packet that can't be placed; its client sends it again.

        A reset might end a flow that its upstream still serves. Peers may
        know an upstream that left the store before this VM started.
        """
        self._counters[_Count.DROPPED_UNKNOWN_TAG] += 1
        if packet.tag != packets.NO_TAG:
            self._outlets.ask_for_tag(packet.tag, now)
        self._events.emit(
            'packet_dropped',
            reason='no upstream has its tag',
            flow=packets.format_flow(packet.key),
            tag=packet.tag,
            request_id=self._codec.find_request_id(packet),
            catalogue_revision=self._catalogue.revision,
        )

    def _reset_ended(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        now: float,
    ) -> bool:
        """Reset a flow whose upstream has ended; return whether it was.

        An upstream that was draining has left when its entry is gone. One
        that vanished has to be silent besides: the client repeats a packet.
        Neither holds for one that still answers: it may be cut off from the
        store only.
        """
        if state.lapsed or not packet.payload_bytes:
            return False
        if state.answered_at > state.removed_at + LAST_ANSWER_S:
            return False
        flow = self.flows.get(packet.key)
        repeated = flow is not None and packet.sequence == flow.sequence
        if not state.upstream.draining and not repeated:
            return False
        self._outlets.send_to_client(
            self._codec.encode_reset(packet), packet.key
        )
        self.flows.remove(packet.key, now)
        self._counters[_Count.RESET] += 1
        self._events.emit(
            'flow_reset',
            reason='its upstream has ended',
            flow=packets.format_flow(packet.key),
            request_id=self._codec.find_request_id(packet),
            upstream=state.upstream.upstream_id,
            drained=state.upstream.draining,
            removed_for_s=round(now - state.removed_at, 3),
        )
        return True

    def _drop_waited(self, packet: packets.FlowPacket, now: float) -> None:
        """Drop an opening that may be open through another VM by now.

        A second upstream's answer would change the tag of an open flow.
        """
        self._counters[_Count.DROPPED_WAITED] += 1
        self._emit_opening(
            'opening_dropped', packet, now, reason='it waited while paused'
        )

    def _receive_opening(self, packet: packets.FlowPacket, now: float) -> None:
        opening = self.openings.get(packet.key)
        if opening is not None and not self.openings.is_overdue(opening, now):
            self._send_opening(packet, opening.state)
            self._counters[_Count.REPEATED] += 1
            return
        route = self._routes.find(packet.key)
        if route is None:
            self._decide_without_route(packet, now)
            return
        service = routes_module.choose_service(route, packet.key)
        excluded: frozenset[int] = frozenset()
        if opening is not None:
            opening.state.note_failure(opening.sent_at, now)
            excluded = opening.tried_tags
        choice = selection.choose_upstream(
            self._catalogue.list_service(service),
            selection.ChoiceContext(
                now=now,
                failure_domain=self._failure_domain,
                excluded=excluded,
                source=self._random,
            ),
        )
        match choice:
            case selection.Chosen():
                self._admit(packet, route, choice, opening, now)
            case selection.NoUpstream(reason):
                self._decide_without_upstream(packet, service, reason, now)

    def _admit(
        self,
        packet: packets.FlowPacket,
        route: records.Route,
        choice: selection.Chosen,
        opening: openings_module.Opening | None,
        now: float,
    ) -> None:
        """Open a flow, unless its answers could not come in time.

        A copy of an opening has been admitted before.
        """
        learned = self._service_times.get(route.destination)
        if opening is not None or learned is None or not learned.known:
            self._open(packet, route, choice, opening, now)
            return
        state = choice.state
        decision = admission.decide_admission(
            admission.make_latency_budget(
                route.target_latency_s, route.priority
            ),
            load=state.load,
            slots=state.upstream.slots,
            service_s=learned.average_s,
        )
        match decision:
            case admission.Admitted():
                self._open(packet, route, choice, opening, now)
            case admission.Refused(expected_s):
                self._refuse(
                    packet,
                    f'an answer is expected after {expected_s:.3f} s',
                    now,
                )

    def _open(
        self,
        packet: packets.FlowPacket,
        route: records.Route,
        choice: selection.Chosen,
        opening: openings_module.Opening | None,
        now: float,
    ) -> None:
        state = choice.state
        if opening is None:
            self.flows.remove(packet.key, now)
            self.openings.start(packet.key, state, now)
            self._counters[_Count.OPENED] += 1
        else:
            self.openings.move(opening, state, now)
            self._counters[_Count.MOVED] += 1
        self._send_opening(packet, state)
        self._emit_opening(
            'flow_opened' if opening is None else 'opening_moved',
            packet,
            now,
            route=route.name,
            upstream=state.upstream.upstream_id,
            cost=round(choice.cost, 3),
            candidates=choice.candidates,
        )

    def _send_opening(
        self, packet: packets.FlowPacket, state: upstreams.UpstreamState
    ) -> None:
        tagged = self._codec.write_tag(packet.raw, state.upstream.tag)
        self._outlets.send(state.prefix + tagged, state.sockaddr)

    def _decide_without_route(
        self, packet: packets.FlowPacket, now: float
    ) -> None:
        age_s = now - self._routes.confirmed_at
        if self._routes.current is None or age_s > CERTAIN_ROUTES_S:
            self._drop_uninformed(packet, 'no route is known', now)
        else:
            self._refuse(packet, 'no such route', now)

    def _decide_without_upstream(
        self,
        packet: packets.FlowPacket,
        service: str,
        reason: str,
        now: float,
    ) -> None:
        if not self._catalogue.revision:
            self._drop_uninformed(packet, reason, now)
        else:
            self._refuse(packet, f'{reason} for {service}', now)

    def _drop_uninformed(
        self, packet: packets.FlowPacket, reason: str, now: float
    ) -> None:
        self._counters[_Count.DROPPED_UNINFORMED] += 1
        self._emit_opening('opening_dropped', packet, now, reason=reason)

    def _refuse(
        self, packet: packets.FlowPacket, reason: str, now: float
    ) -> None:
        """Reset an opening: nothing has run, and its client knows at once."""
        self._outlets.send_to_client(
            self._codec.encode_reset(packet), packet.key
        )
        self._counters[_Count.REFUSED] += 1
        self._emit_opening('opening_refused', packet, now, reason=reason)

    def _emit_opening(
        self,
        name: str,
        packet: packets.FlowPacket,
        now: float,
        **outcome: typing.Any,
    ) -> None:
        """Log a decision about an opening, and how old its inputs are."""
        self._events.emit(
            name,
            flow=packets.format_flow(packet.key),
            copy=packet.acknowledged,
            **outcome,
            configuration=self._routes.version,
            configuration_age_s=round(now - self._routes.confirmed_at, 3),
            catalogue_revision=self._catalogue.revision,
            catalogue_age_s=round(now - self._catalogue.confirmed_at, 3),
        )
