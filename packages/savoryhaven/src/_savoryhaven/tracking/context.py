"""The shared state of an entry VM."""

import random
import typing

import attrs

from _savoryhaven import hooks
from _savoryhaven.tracking import admission as admission_module
from _savoryhaven.tracking import counters as counters_module
from _savoryhaven.tracking import flows as flows_module
from _savoryhaven.tracking import former_owners as former_owners_module
from _savoryhaven.tracking import loads as loads_module
from _savoryhaven.tracking import membership as membership_module
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import ownership as ownership_module
from _savoryhaven.tracking import routing as routing_module
from _savoryhaven.tracking import settings as settings_module


@attrs.define(kw_only=True, eq=False)
class Context:
    """State of one entry VM, without any task or socket."""

    settings: settings_module.Settings
    clock: hooks.Clock
    random: random.Random
    protocols: dict[str, hooks.FlowProtocol]
    members: membership_module.Members
    local_health: membership_module.LocalHealth
    owners: ownership_module.Owners
    routing: routing_module.Routing
    flows: flows_module.FlowTable
    tombstones: flows_module.Tombstones
    former_owners: former_owners_module.FormerOwners
    loads: loads_module.Loads
    admission: admission_module.Admission
    counters: counters_module.Counters
    platform_reachable: bool = True
    # Whether this VM has joined and forwards packets.
    serving: bool = False
    # Changed pinned flows, by service and key, to be copied to the successor.
    unreplicated_flows: list[tuple[str, bytes]] = attrs.field(factory=list)

    @property
    def vm_id(self) -> str:
        """Return the name of this VM."""
        return self.settings.vm_id

    def get_knowledge(self) -> messages.Knowledge:
        """Return the versions of what this VM knows from the platform."""
        return messages.Knowledge(
            self.routing.generation,
            self.routing.list_revision,
            self.platform_reachable,
            self.routing.evacuations_revision,
        )

    def count_flow(self, flow: flows_module.Flow) -> None:
        """Count a flow that this VM owns as load of its upstream."""
        self.loads.own_flows[flow.target.endpoint] += 1

    def uncount_flow(self, flow: flows_module.Flow) -> None:
        """Stop counting a flow as load of its upstream.

        Copies and closing flows are not counted.
        """
        if not flow.copied_from and not flow.closing:
            self.loads.own_flows[flow.target.endpoint] -= 1

    def get_protocol(self, service: str) -> hooks.FlowProtocol:
        """Return the protocol of a service in the current document."""
        table = self.routing.tables.by_name[service]
        return self.protocols[table.service.protocol]

    def get_idle_timeout(self, service: str, closing: bool) -> float:
        """Return the idle timeout of a service's flows in seconds.

        It is 0 for a service that is no longer in the document.
        """
        tables = self.routing.tables
        if tables is None or service not in tables.by_name:
            return 0.0
        protocol = self.get_protocol(service)
        if closing:
            return protocol.closing_linger_s
        return protocol.idle_timeout_s


def build_context(
    settings: settings_module.Settings,
    *,
    clock: hooks.Clock,
    source: random.Random,
    protocols: typing.Iterable[hooks.FlowProtocol],
) -> Context:
    """Return the initial state of a VM."""
    now = clock.read_monotonic()
    by_name = {protocol.name: protocol for protocol in protocols}
    max_idle_timeout_s = max(p.idle_timeout_s for p in by_name.values())
    me = messages.MemberRecord(
        settings.vm_id,
        settings.failure_domain,
        settings.peer_address,
        clock.read_epoch_ms(),
        0,
        messages.MemberState.ALIVE,
    )
    members = membership_module.Members(me, settings.membership, now)
    routing = routing_module.Routing()
    loads = loads_module.Loads()
    return Context(
        settings=settings,
        clock=clock,
        random=source,
        protocols=by_name,
        members=members,
        local_health=membership_module.LocalHealth(settings.membership, now),
        owners=ownership_module.Owners(members),
        routing=routing,
        flows=flows_module.FlowTable(settings.limits.flows),
        tombstones=flows_module.Tombstones(settings.limits.tombstones),
        former_owners=former_owners_module.FormerOwners(max_idle_timeout_s),
        loads=loads,
        admission=admission_module.Admission(routing, members, loads),
        counters=counters_module.Counters(),
    )
