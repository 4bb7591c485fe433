"""Decides on openings: which upstream gets a new flow, if any does."""

import random
import typing

import attrs

from _savoryhaven.datapath import flows as flows_module
from _savoryhaven.datapath import openings as openings_module
from _savoryhaven.datapath import parts as parts_module
from _savoryhaven.datapath import refusals
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.model import packets
from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.placement import admission
from _savoryhaven.placement import selection
from _savoryhaven.placement import slow_start as slow_start_module
from _savoryhaven.placement import spillover
from _savoryhaven.telemetry import counters as counters_module

# An unknown route is refused only if the configuration was confirmed within
# this time, as changes take up to 3 s to be in force.
ROUTES_FRESH_S = 1.5
OPENING_LIMIT = 5_000

_Count = counters_module.Count


@attrs.frozen(eq=False, repr=False)
class ColdStart:
    """The limits of cold upstreams, and the live VMs that share them."""

    slow_start: slow_start_module.SlowStart
    list_live_ids: typing.Callable[[float], frozenset[str]]


class NewFlows:
    """Handles the openings that a VM gets.

    ``service_times`` are those of all routes that were measured so far.
    """

    def __init__(
        self,
        parts: parts_module.Parts,
        *,
        flows: flows_module.FlowTable,
        service_times: typing.Mapping[
            records.Destination, admission.ServiceTime
        ],
        failure_domain: str,
        source: random.Random,
        evacuations: evacuations_module.Evacuations | None,
        cold_start: ColdStart | None,
    ) -> None:
        self._parts: typing.Final = parts
        self._flows: typing.Final = flows
        self._service_times: typing.Final = service_times
        self._failure_domain: typing.Final = failure_domain
        self._random: typing.Final = source
        self._evacuations: typing.Final = evacuations
        self._cold_start: typing.Final = cold_start
        self._refusals: typing.Final = refusals.Refusals(parts)
        self.openings: typing.Final = openings_module.Openings(OPENING_LIMIT)

    def receive(self, packet: packets.FlowPacket, now: float) -> None:
        """Forward an opening to an upstream, refuse it or drop it."""
        opening = self.openings.get(packet.key)
        evacuated = self.list_evacuated(now)
        if opening is None and self._is_open(packet):
            self._drop_open(packet, evacuated, now)
            return
        if opening is not None and self._stays(opening, evacuated, now):
            self._send_opening(packet, opening.state)
            self._parts.counters[_Count.REPEATED] += 1
            return
        route = self._parts.routes.find(packet.key)
        if route is None:
            self._decide_without_route(packet, now)
            return
        service = routes_module.choose_service(route, packet.key)
        excluded = self._parts.places.list_tried(packet)
        if opening is not None:
            excluded |= opening.tried_tags
        context = selection.ChoiceContext(
            now=now,
            failure_domain=self._failure_domain,
            excluded=excluded,
            excluded_domains=evacuated,
            source=self._random,
        )
        if len(route.backends) > 1:
            self._receive_spillable(packet, route, service, opening, context)
            return
        choice = self._choose_upstream(service, context)
        match choice:
            case selection.Chosen():
                self._admit(packet, route, choice, opening, now)
            case _:
                self._decide_unplaced(packet, service, choice, opening, now)

    def _is_open(self, packet: packets.FlowPacket) -> bool:
        """Return whether the flow of an opening is open already."""
        flow = self._flows.get(packet.key)
        if flow is not None and not flow.ended:
            if flow.opening_sequence == packet.sequence:
                return True
        return self._parts.places.is_open(packet)

    def _drop_open(
        self,
        packet: packets.FlowPacket,
        evacuated: frozenset[str],
        now: float,
    ) -> None:
        """Drop a copy of an opening that came later than its flow's packets.

        The answer of another upstream would change the flow's tag, and a reset
        would end the flow.
        """
        flow = self._flows.get(packet.key)
        count = _Count.DROPPED_OPEN
        if flow and flow.state.upstream.failure_domain in evacuated:
            count = _Count.DROPPED_EVACUATED
        self._parts.counters[count] += 1
        self._refusals.emit(
            'opening_ignored', packet, now, reason='its flow is open already'
        )

    def _stays(
        self,
        opening: openings_module.Opening,
        evacuated: frozenset[str],
        now: float,
    ) -> bool:
        """Return whether a copy goes to the same upstream as the last one."""
        overdue = self.openings.is_overdue(opening, now)
        if overdue:
            opening.state.note_failure(opening.sent_at, now)
        if opening.state.upstream.failure_domain in evacuated:
            return False
        if overdue and not self._parts.places.may_contest(now):
            self.openings.repeat(opening, now)
            self._parts.counters[_Count.NOT_MOVED] += 1
            return True
        return not overdue

    def drop_waited(self, packet: packets.FlowPacket, now: float) -> None:
        """Drop an opening whose flow may now be open through another VM.

        The answer of a second upstream would change the tag of an open flow.
        """
        self._parts.counters[_Count.DROPPED_WAITED] += 1
        self._refusals.emit(
            'opening_dropped',
            packet,
            now,
            reason='it arrived while the VM was paused',
        )

    def _choose_upstream(
        self, service: str, context: selection.ChoiceContext
    ) -> selection.Choice:
        states = self._parts.catalogue.list_service(service)
        choice = selection.choose_upstream(
            self._leave_out_cold(states, context), context
        )
        match choice:
            case selection.NoUpstream() if any(
                map(selection.takes_new_flows, states)
            ):
                # Only the limits of cold upstreams left these out.
                return selection.AllCold()
        return choice

    def _decide_unplaced(
        self,
        packet: packets.FlowPacket,
        service: str,
        choice: selection.Choice,
        opening: openings_module.Opening | None,
        now: float,
    ) -> None:
        """Refuse or drop an opening for which there is no upstream."""
        match choice:
            case selection.AllEvacuated():
                self._decide_evacuated(packet, opening, now)
                return
            case selection.AllCold():
                self._parts.counters[_Count.REFUSED_COLD] += 1
        self._decide_without_upstream(
            packet, service, selection.describe_failure(choice), now
        )

    def list_evacuated(self, now: float) -> frozenset[str]:
        """Return the failure domains that get no openings."""
        if self._evacuations is None:
            return frozenset()
        return self._evacuations.list_excluded(now)

    def _decide_evacuated(
        self,
        packet: packets.FlowPacket,
        opening: openings_module.Opening | None,
        now: float,
    ) -> None:
        """Refuse an opening that only evacuated upstreams could serve.

        A copy is dropped if the flow is open, or if an answer to the copy
        before may be on its way: a reset could end a flow that its upstream
        serves, and its client could not be certain that nothing has run.
        """
        flow = self._flows.get(packet.key)
        awaits_answer = opening is not None and not self.openings.is_overdue(
            opening, now
        )
        if awaits_answer or (flow is not None and not flow.ended):
            self._parts.counters[_Count.DROPPED_EVACUATED] += 1
            self._refusals.emit(
                'opening_dropped',
                packet,
                now,
                reason='its evacuated upstream may have answered',
            )
            return
        self._parts.counters[_Count.REFUSED_EVACUATED] += 1
        self._refusals.refuse(
            packet,
            selection.describe_failure(selection.AllEvacuated()),
            now,
        )

    def _leave_out_cold(
        self,
        states: list[upstreams.UpstreamState],
        context: selection.ChoiceContext,
    ) -> list[upstreams.UpstreamState]:
        """Return the upstreams that may get an opening now.

        Warm upstreams in evacuated domains do not count: a VM that took them
        for an alternative would keep all openings from the cold ones.
        """
        current = self._parts.routes.current
        if self._cold_start is None or current is None:
            return states
        if context.excluded_domains:
            available = [
                state
                for state in states
                if state.upstream.failure_domain
                not in context.excluded_domains
                and selection.takes_new_flows(state)
            ]
            if not available:
                return states
            states = available
        return self._cold_start.slow_start.filter(
            states,
            context.now,
            current.services,
            self._cold_start.list_live_ids(context.now),
            tried=context.excluded,
        )

    def _receive_spillable(
        self,
        packet: packets.FlowPacket,
        route: records.Route,
        drawn: str,
        opening: openings_module.Opening | None,
        context: selection.ChoiceContext,
    ) -> None:
        """Place an opening of a route with several backends."""
        now = context.now
        pending = opening.state.upstream.service if opening else None
        services = spillover.list_services(route.backends, drawn, pending)
        placement = spillover.place_flow(
            services,
            context,
            choose=lambda service: self._choose_upstream(service, context),
            check=lambda choice: self._find_refusal(route, choice.state),
            pending=pending,
        )
        match placement:
            case spillover.Placed(service, choice, reason):
                if reason:
                    self._parts.counters[_Count.SPILLED] += 1
                    self._refusals.emit(
                        'opening_spilled',
                        packet,
                        now,
                        route=route.name,
                        service=services[0],
                        to_service=service,
                        reason=reason,
                    )
                self._open(packet, route, choice, opening, now)
            case spillover.Unplaced(reason, None):
                self._refusals.refuse(packet, reason, now)
            case spillover.Unplaced(_, choice):
                self._decide_unplaced(
                    packet, services[0], choice, opening, now
                )

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
        reason = ''
        if opening is None:
            reason = self._find_refusal(route, choice.state)
        if reason:
            self._refusals.refuse(packet, reason, now)
        else:
            self._open(packet, route, choice, opening, now)

    def _find_refusal(
        self, route: records.Route, state: upstreams.UpstreamState
    ) -> str:
        """Return why an upstream does not admit a flow, '' if it does."""
        service_time = self._service_times.get(route.destination)
        if service_time is None or not service_time.known:
            return ''
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
                return ''
            case admission.Refused(expected_s):
                return f'an answer is expected after {expected_s:.3f} s'

    def _open(
        self,
        packet: packets.FlowPacket,
        route: records.Route,
        choice: selection.Chosen,
        opening: openings_module.Opening | None,
        now: float,
    ) -> None:
        state = choice.state
        if self._cold_start is not None and (
            opening is None or state not in opening.tried
        ):
            self._cold_start.slow_start.note_opening(state, now)
        if self._is_contested(packet, opening):
            self._parts.places.note_copy(
                packet, state.upstream.tag, now, at_once=opening is None
            )
        if opening is None:
            self._flows.remove(packet.key, now)
            self.openings.start(
                packet.key,
                state,
                now,
                sequence=packet.sequence,
                raw=packet.raw,
            )
            self._parts.counters[_Count.OPENED] += 1
        else:
            self.openings.move(opening, state, now)
            self._parts.counters[_Count.MOVED] += 1
        self._send_opening(packet, state)
        self._refusals.emit(
            'flow_opened' if opening is None else 'opening_moved',
            packet,
            now,
            route=route.name,
            upstream=state.upstream.upstream_id,
            cost=round(choice.cost, 3),
            candidates=choice.candidates,
        )

    def _is_contested(
        self,
        packet: packets.FlowPacket,
        opening: openings_module.Opening | None,
    ) -> bool:
        """Return whether upstreams tried earlier may answer an opening too.

        Another VM may have sent earlier copies to one of them.
        """
        if opening is not None or packet.acknowledged:
            return True
        return bool(self._parts.places.list_tried(packet))

    def _send_opening(
        self, packet: packets.FlowPacket, state: upstreams.UpstreamState
    ) -> None:
        tagged = self._parts.codec.write_tag(packet.raw, state.tag)
        self._parts.outputs.send(state.prefix + tagged, state.sockaddr)

    def _decide_without_route(
        self, packet: packets.FlowPacket, now: float
    ) -> None:
        age_s = now - self._parts.routes.confirmed_at
        if self._parts.routes.current is None or age_s > ROUTES_FRESH_S:
            self._refusals.drop_uninformed(packet, 'no route is known', now)
        else:
            self._refusals.refuse(packet, 'no such route', now)

    def _decide_without_upstream(
        self,
        packet: packets.FlowPacket,
        service: str,
        reason: str,
        now: float,
    ) -> None:
        if not self._parts.catalogue.revision:
            self._refusals.drop_uninformed(packet, reason, now)
        else:
            self._refusals.refuse(packet, f'{reason} for {service}', now)
