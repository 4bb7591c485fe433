"""What the parts of the datapath share."""

import typing

import attrs

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import flow_places as flow_places_module
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.model import packets
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

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


@attrs.frozen(kw_only=True, eq=False, repr=False)
class Parts:
    """What a VM knows, and where packets, counts and log lines go."""

    codec: packets.PacketCodec
    routes: routes_module.Routes
    catalogue: catalogue_module.Catalogue
    places: flow_places_module.FlowPlaces
    outputs: Outputs
    counters: counters_module.Counters
    events: events_module.EventLog
