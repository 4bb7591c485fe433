"""Forwards packets: by their tag, or to an upstream chosen for a new flow.

A packet of an open flow carries its upstream's tag, so any VM can forward it
without state of its own. An upstream is chosen only for the first packet.
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
from _savoryhaven.placement import own_limits as own_limits_module
from _savoryhaven.placement import selection
from _savoryhaven.placement import upstreams

# An unknown route is refused only if the configuration was confirmed within
# this time, as changes take up to 3 s to be in force.
ROUTES_FRESH_S = 1.5
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
OPENING_LIMIT = 5_000

_Count = counters_module.Count
# Bound once, as access to an enum member is slow.
_FORWARDED: typing.Final = _Count.FORWARDED
Send = typing.Callable[[bytes, tuple[str, int]], None]


@attrs.frozen(eq=False, repr=False)
class Outputs:
    """Functions that send packets to an address or to a flow's client.

    ``request_tag`` asks other VMs for the upstream of a tag; its second
    argument is the current time.
    """

    send: Send
    send_to_client: typing.Callable[[bytes, packets.FlowKey], None]
    request_tag: typing.Callable[[int, float], None]


class Forwarder:
    """Handles each packet that a VM gets from clients."""

    def __init__(
        self,
        *,
        codec: packets.PacketCodec,
        routes: routes_module.Routes,
        catalogue: catalogue_module.Catalogue,
        outputs: Outputs,
        failure_domain: str,
        counters: counters_module.Counters,
        events: events_module.EventLog,
        source: random.Random,
        own_limits: own_limits_module.OwnLimits | None = None,
    ) -> None:
        self._codec: typing.Final = codec
        self._routes: typing.Final = routes
        self._catalogue: typing.Final = catalogue
        self._outputs: typing.Final = outputs
        self._failure_domain: typing.Final = failure_domain
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._random: typing.Final = source
        self._own_limits: typing.Final = own_limits
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

        ``waited`` is whether the packet arrived while the process was paused.
        """
        packet = self._codec.decode(raw)
        if packet is None:
            self._counters[_Count.DROPPED_MALFORMED] += 1
        elif packet.opening and waited:
            self._drop_waited(packet, now)
        elif packet.opening:
            self._receive_opening(packet, now)
        else:
            self._receive_established(packet, now)

    def expire(self, now: float) -> None:
        """Remove expired openings and flows."""
        self.openings.expire(now)
        current = self._routes.current
        if current is not None:
            self.flows.expire(
                now,
                idle_s=current.idle_timeout_s,
                get_request_timeout=self._get_request_timeout,
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
        if len(self.openings):
            self._complete_opening(packet, state, now)
        known = self.flows.get(key)
        if known is not None and known.requests and state is not known.state:
            # A late answer to a copy of the opening has changed the tag.
            state = known.state
        if state is None:
            self._drop_unknown(packet, now)
            return
        if state.removed_at != math.inf and self._reset_ended(
            packet, state, now
        ):
            return
        self._outputs.send(state.prefix + packet.raw, state.sockaddr)
        self._counters[_FORWARDED] += 1
        observation = self.flows.observe(known, packet, state, now)
        if observation is None:
            self._counters[_Count.FLOWS_UNOBSERVED] += 1
        elif observation is not flows_module.EMPTY_OBSERVATION:
            self._record_observation(packet, state, observation, now)

    def _complete_opening(
        self,
        packet: packets.FlowPacket,
        state: upstreams.UpstreamState | None,
        now: float,
    ) -> None:
        """Record that an opening was answered, as a later packet shows."""
        opening = self.openings.complete(packet.key, now)
        if opening is not None and state is not None:
            state.note_answer(now)
            self.opening_latency.record(now - opening.first_sent_at)

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

    def _drop_waited(self, packet: packets.FlowPacket, now: float) -> None:
        """Drop an opening whose flow may now be open through another VM.

        The answer of a second upstream would change the tag of an open flow.
        """
        self._counters[_Count.DROPPED_WAITED] += 1
        self._emit_opening(
            'opening_dropped',
            packet,
            now,
            reason='it arrived while the VM was paused',
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
        if (
            opening is None
            and self._own_limits is not None
            and not self._own_limits.admit(route.priority, _draw(packet))
        ):
            self._shed(packet)
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
        """Open a flow, or refuse it if answers would be late.

        Copies of an opening that was admitted are not refused.
        """
        service_time = self._service_times.get(route.destination)
        if (
            opening is not None
            or service_time is None
            or not service_time.known
        ):
            self._open(packet, route, choice, opening, now)
            return
        state = choice.state
        decision = admission.decide_admission(
            admission.make_latency_budget(
                route.target_latency_s, route.priority
            ),
            load=state.load,
            slots=state.upstream.slots,
            service_s=service_time.average_s,
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
        self._outputs.send(state.prefix + tagged, state.sockaddr)

    def _decide_without_route(
        self, packet: packets.FlowPacket, now: float
    ) -> None:
        age_s = now - self._routes.confirmed_at
        if self._routes.current is None or age_s > ROUTES_FRESH_S:
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
        """Reset an opening, so that its client knows that nothing has run."""
        self._outputs.send_to_client(
            self._codec.encode_reset(packet), packet.key
        )
        self._counters[_Count.REFUSED] += 1
        self._emit_opening('opening_refused', packet, now, reason=reason)

    def _shed(self, packet: packets.FlowPacket) -> None:
        """Reset an opening because the VM is too busy.

        A log line for each would cost as much as the reset itself; the lines
        at the start and the end of shedding have the numbers.
        """
        self._outputs.send_to_client(
            self._codec.encode_reset(packet), packet.key
        )
        self._counters[_Count.SHED] += 1

    def _emit_opening(
        self,
        name: str,
        packet: packets.FlowPacket,
        now: float,
        **outcome: typing.Any,
    ) -> None:
        """Log the decision on an opening, with the age of its inputs."""
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


def _draw(packet: packets.FlowPacket) -> float:
    """Return a number from 0 to 1, the same for each copy of an opening.

    The hash of integers is the same in all processes. A client that tries
    again with the same ports has another sequence number.
    """
    return (hash((packet.key, packet.sequence)) & 0xFFFF_FFFF) / (1 << 32)
