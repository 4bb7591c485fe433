"""Forwards packets: by their tag, or to an upstream chosen for a new flow.

A packet of an open flow carries its upstream's tag, so any VM can forward it
without state of its own. An upstream is chosen only for the first packet.
"""

import math
import random
import typing

from _savoryhaven.datapath import flows as flows_module
from _savoryhaven.datapath import half_open as half_open_module
from _savoryhaven.datapath import new_flows
from _savoryhaven.datapath import openings as openings_module
from _savoryhaven.datapath import parts as parts_module
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import flow_places as flow_places_module
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.model import packets
from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.placement import admission
from _savoryhaven.placement import answers
from _savoryhaven.placement import service_times
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

# The last answers of an upstream may be acknowledged this long after its
# entry was removed, because of round trips and the delay of the client.
LAST_ANSWER_GRACE_S = 0.1
# A request without an answer counts as load for this many times its route's
# target latency. Most requests that wait longer are answered through another
# VM: when a VM joins or leaves, the fabric moves nearly all flows.
REQUEST_TIMEOUT_TARGETS = 2.0
# Request timeout of flows without a route: a few target latencies.
DEFAULT_REQUEST_TIMEOUT_S = 2.0
# Flows that a VM observes: at 365 B each they use 7.3 of its 25 MB.
FLOW_LIMIT = 20_000

_Count = counters_module.Count
# Bound once, as access to an enum member is slow.
_FORWARDED: typing.Final = _Count.FORWARDED


class Forwarder:
    """Handles each packet that a VM gets from clients."""

    def __init__(
        self,
        *,
        codec: packets.PacketCodec,
        routes: routes_module.Routes,
        catalogue: catalogue_module.Catalogue,
        outputs: parts_module.Outputs,
        places: flow_places_module.FlowPlaces,
        failure_domain: str,
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
        evacuations: evacuations_module.Evacuations | None = None,
        cold_start: new_flows.ColdStart | None = None,
        uneven_upstreams: bool = False,
    ) -> None:
        self._codec: typing.Final = codec
        self._routes: typing.Final = routes
        self._catalogue: typing.Final = catalogue
        self._outputs: typing.Final = outputs
        self._places: typing.Final = places
        places.on_news = self._note_place
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self.flows: typing.Final = flows_module.FlowTable(FLOW_LIMIT)
        self._service_times: dict[records.Destination, admission.ServiceTime]
        self._service_times = {}
        parts = parts_module.Parts(
            codec=codec,
            routes=routes,
            catalogue=catalogue,
            places=places,
            outputs=outputs,
            counters=counters,
            events=events,
        )
        self._new_flows: typing.Final = new_flows.NewFlows(
            parts,
            flows=self.flows,
            service_times=self._service_times,
            failure_domain=failure_domain,
            source=source,
            evacuations=evacuations,
            cold_start=cold_start,
        )
        self.openings: typing.Final = self._new_flows.openings
        self._half_open: typing.Final = half_open_module.HalfOpenFlows(
            parts, self._new_flows.list_evacuated
        )
        self._uneven: typing.Final = (
            service_times.ServiceTimes() if uneven_upstreams else None
        )
        self._answer_lengths: dict[records.Destination, answers.AnswerLengths]
        self._answer_lengths = {}
        self.answer_latency: typing.Final = counters_module.Histogram()
        self.opening_latency: typing.Final = counters_module.Histogram()

    def receive(self, raw: bytes, now: float, *, waited: bool = False) -> None:
        """Handle a packet from a client.

        ``waited`` is whether the packet arrived while the process was paused.
        """
        packet = self._codec.decode(raw)
        if packet is None:
            self._counters[_Count.DROPPED_MALFORMED] += 1
        elif packet.opening and waited:
            self._new_flows.drop_waited(packet, now)
        elif packet.opening:
            if len(self._half_open):
                self._half_open.note_opening(packet)
            self._new_flows.receive(packet, now)
        else:
            self._receive_established(packet, now)

    def expire(self, now: float) -> None:
        """Remove expired openings and flows."""
        for key, opening in self.openings.expire(now):
            if self._is_contested(key, opening):
                self._half_open.add(key, opening, None, now)
        self._half_open.expire(now)
        self._places.announce_waiting(now)
        self._places.expire(now)
        current = self._routes.current
        if current is not None:
            self.flows.expire(
                now,
                idle_s=current.idle_timeout_s,
                get_request_timeout=self._get_request_timeout,
            )

    def _is_contested(
        self, key: packets.FlowKey, opening: openings_module.Opening
    ) -> bool:
        """Return whether several upstreams may answer an opening."""
        return len(opening.tried) > 1 or self._places.is_contested(
            key, opening.sequence
        )

    def _get_request_timeout(self, key: packets.FlowKey) -> float:
        """Return after how many seconds a request without answer times out.

        The route may be gone, as an open flow can outlive it.
        """
        route = self._routes.find(key)
        if route is None:
            return DEFAULT_REQUEST_TIMEOUT_S
        return min(
            route.timeout_s, REQUEST_TIMEOUT_TARGETS * route.target_latency_s
        )

    def _receive_established(
        self, packet: packets.FlowPacket, now: float
    ) -> None:
        """Forward a packet of an open flow to the flow's upstream."""
        key = packet.key
        state = self._catalogue.by_tag.get(packet.tag)
        if state is None and packet.tag != packets.NO_TAG:
            state = self._catalogue.find_by_former_tag(packet.tag)
        opening = None
        if len(self.openings):
            opening = self._complete_opening(packet, state, now)
        known = self.flows.get(key)
        if known is None or known.state is not state:
            state = self._find_place(packet, state, known, now)
        if state is None:
            self._drop_unknown(packet, now)
            return
        if state.removed_at != math.inf and self._reset_ended(
            packet, state, now
        ):
            return
        if opening is not None:
            self._half_open.add(key, opening, state, now)
        if len(self._half_open):
            self._half_open.note_packet(packet, state, now)
        self._outputs.send(state.prefix + packet.raw, state.sockaddr)
        self._counters[_FORWARDED] += 1
        observation = self.flows.observe(known, packet, state, now)
        if observation is None:
            self._counters[_Count.FLOWS_UNOBSERVED] += 1
        elif observation is not flows_module.EMPTY_OBSERVATION:
            self._record_observation(packet, state, observation, now)

    def _find_upstream(self, tag: int) -> upstreams.UpstreamState | None:
        state = self._catalogue.by_tag.get(tag)
        return state or self._catalogue.find_by_former_tag(tag)

    def _complete_opening(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState | None,
        now: float,
    ) -> openings_module.Opening | None:
        """Record that an opening was answered, as a later packet shows."""
        opening = self.openings.complete(packet.key, now)
        if opening is None or state is None:
            return opening
        state.note_answer(now)
        self.opening_latency.record(now - opening.first_sent_at)
        if state not in opening.tried and (
            packets.precede(packet.sequence) == opening.sequence
        ):
            # Another VM has sent a copy to this upstream.
            self._decide_place(packet, state, now)
        return opening

    def _find_place(
        self,
        packet: packets.FlowPacket,
        tagged: upstreams.UpstreamState | None,
        known: flows_module.ObservedFlow | None,
        now: float,
    ) -> upstreams.UpstreamState | None:
        """Return the upstream that has a flow, and correct the packet's tag.

        ``tagged`` is the upstream of its tag, and ``known`` the flow as this
        VM saw it before. The tag is another one's if that answered a copy of
        the opening later.
        """
        state = tagged
        if known is not None and packets.is_same_flow(
            packet.acknowledged, known.acknowledged
        ):
            state = known.state
            if packet.tag != state.tag:
                self._announce_flow(known, packet.key, now)
        else:
            tag = self._places.find_tag(packet)
            if tag is not None:
                state = self._find_upstream(tag)
            elif tagged is not None and self._places.is_undecided(packet):
                self._decide_place(packet, tagged, now)
        if state is not None and packet.tag != state.tag:
            self._half_open.note_wrong_tag(packet, state, now)
            packet.tag = state.tag
            packet.raw = self._codec.write_tag(packet.raw, packet.tag)
            self._counters[_Count.CORRECTED] += 1
        return state

    def _decide_place(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        now: float,
    ) -> None:
        """Announce the upstream that has the end of a flow's handshake."""
        place = packets.FlowPlace(
            *packet.key,
            packets.precede(packet.sequence),
            state.tag,
            packet.acknowledged,
        )
        self._announce_place(place, state, now)

    def _announce_flow(
        self,
        flow: flows_module.ObservedFlow,
        key: packets.FlowKey,
        now: float,
    ) -> None:
        """Announce the upstream of a flow that this VM has observed."""
        place = packets.FlowPlace(
            *key,
            flow.opening_sequence,
            flow.state.tag,
            flow.acknowledged,
        )
        self._announce_place(place, flow.state, now)

    def _announce_place(
        self,
        place: packets.FlowPlace,
        state: upstreams.UpstreamState,
        now: float,
    ) -> None:
        if self._places.decide(place, now):
            self._events.emit(
                'flow_placed',
                flow=packets.format_flow(place.key),
                upstream=state.upstream.upstream_id,
            )

    def _note_place(self, place: packets.FlowPlace, now: float) -> None:
        """Compare what a peer has announced with what this VM saw."""
        flow = self.flows.get(place.key)
        if place.acknowledged == packets.NOT_OPEN:
            if flow is not None and flow.opening_sequence == place.sequence:
                # The copy came late: the flow is open already.
                self._announce_flow(flow, place.key, now)
            return
        state = self._find_upstream(place.tag)
        if state is None:
            return
        opening = self.openings.get(place.key)
        if opening is not None and opening.sequence == place.sequence:
            self._half_open.add(place.key, opening, state, now)
        else:
            self._half_open.note_place(place, state, now)
        if flow is None or flow.state is state:
            return
        if packets.is_same_flow(place.acknowledged, flow.acknowledged):
            self.flows.move(flow, state, now)

    def _record_observation(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState,
        observation: flows_module.Observation,
        now: float,
    ) -> None:
        if observation.latency_s >= 0:
            self._counters[_Count.ANSWERED] += 1
            self.answer_latency.record(observation.latency_s)
            self._service_times.setdefault(
                packet.key[2:], admission.ServiceTime()
            ).record(observation.latency_s, observation.load_at_start)
            if self._uneven is not None:
                self._uneven.note_answer(
                    packet.key,
                    state,
                    observation.latency_s,
                    observation.load_at_start,
                )
        if observation.answer_bytes >= 0:
            self._check_answer_length(
                packet, state, observation.answer_bytes, now
            )
        if observation.begins_request:
            self._events.emit(
                'request_forwarded',
                request_id=self._codec.find_request_id(packet),
                flow=packets.format_flow(packet.key),
                upstream=state.upstream.upstream_id,
                number=observation.requests,
                upstream_requests=state.outstanding,
            )

    def _check_answer_length(
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
        short = lengths.record(answer_bytes)
        if self._uneven is not None and self._uneven.end_answer(
            packet.key, short=short
        ):
            self._counters[_Count.SPEEDS_CHANGED] += 1
            self._events.emit(
                'upstream_speed_changed',
                upstream=state.upstream.upstream_id,
                factor=round(state.speed_factor, 2),
                answers=state.speed.answers,
            )
        if not short:
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
        """Drop a packet with an unknown tag; its client sends it again.

        A reset could end a flow that its upstream still serves. Peers are
        asked, as they may know an upstream that was removed from the store
        before this VM started.
        """
        self._counters[_Count.DROPPED_UNKNOWN_TAG] += 1
        if packet.tag != packets.NO_TAG:
            self._outputs.request_tag(packet.tag, now)
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
        """Reset a flow whose upstream has ended; return whether it was reset.

        A draining upstream has ended when its entry is removed. Any other
        must also be silent, which shows when the client repeats a packet. An
        upstream that still answers has not ended: it may only have lost its
        connection to the store.
        """
        if state.lapsed or not packet.payload_bytes:
            return False
        if state.answered_at > state.removed_at + LAST_ANSWER_GRACE_S:
            return False
        flow = self.flows.get(packet.key)
        repeated = flow is not None and packet.sequence == flow.sequence
        if not state.upstream.draining and not repeated:
            return False
        self._outputs.send_to_client(
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
