"""Placement tables: pure functions of the routing document.

A flow hashes to a bucket of its service. Each bucket ranks the service's
upstreams by weighted rendezvous hashing, with their slots as weights. Tables
depend neither on load nor on the availability of upstreams, which are
considered only when a flow opens, so VMs with the same document have the same
tables. See docs/design/placement.md.
"""

import math
import struct
import typing

import attrs
import xxhash

from _savoryhaven import addresses
from _savoryhaven.tracking import document

# Entries of about 300 B each.
RANKINGS_LIMIT = 50_000
_HASH_RANGE = 2**64
_BUCKET_FORMAT = struct.Struct('>I')


@attrs.frozen(eq=False)
class Target:
    """An upstream with its address preformatted for the packet path."""

    name: str
    service: str
    failure_domain: str
    address: addresses.Address
    # The address as text, and its IP address as packed bytes.
    endpoint: str
    host: bytes
    slots: int
    connections: int
    report: str
    draining: bool


@attrs.frozen(kw_only=True)
class View:
    """The inputs from which an owner derives placements.

    ``generation`` is that of the document; ``leaving`` holds the addresses of
    the upstreams known to be leaving, and the names of evacuated failure
    domains. Messages carry it, so a domain is not spelt out as its upstreams.
    """

    generation: int = 0
    leaving: frozenset[str] = frozenset()


def is_leaving(target: Target, leaving: frozenset[str]) -> bool:
    """Return whether an upstream gets no new flows, by a view's ``leaving``.

    Names of failure domains differ from all addresses, as they have no colon.
    """
    return (
        target.draining
        or target.endpoint in leaving
        or target.failure_domain in leaving
    )


class RankingCache(dict):
    """A bounded cache of rankings, shared by all tables.

    A VM ranks far more buckets than it owns, as it relays their packets.
    """

    def add(
        self, key: tuple['ServiceTable', int], ranked: tuple[Target, ...]
    ) -> None:
        """Add a ranking; a full cache is cleared first."""
        if len(self) >= RANKINGS_LIMIT:
            self.clear()
        self[key] = ranked


class ServiceTable:
    """The table of one service in one generation of the document."""

    def __init__(
        self,
        name: str,
        service: document.Service,
        seed: int,
        rankings: RankingCache | None = None,
    ) -> None:
        self.name: typing.Final = name
        self.service: typing.Final = service
        address = addresses.parse_address(service.address)
        self.address: typing.Final = address
        self.host: typing.Final = address.packed
        self.targets: typing.Final = tuple(
            _build_target(name, upstream_name, upstream)
            for upstream_name, upstream in sorted(service.upstreams.items())
        )
        self.by_address: typing.Final = {
            target.endpoint: target for target in self.targets
        }
        self.slots: typing.Final = sum(t.slots for t in self.targets)
        self._seed = seed
        self._service_hash = xxhash.xxh64_intdigest(name.encode(), seed)
        self._rankings: typing.Final = (
            RankingCache() if rankings is None else rankings
        )

    def find_bucket(self, flow_key: bytes) -> int:
        """Return the bucket of a flow."""
        digest = xxhash.xxh64_intdigest(flow_key, self._seed)
        return digest % self.service.buckets

    def hash_bucket(self, bucket: int) -> int:
        """Return the hash of a bucket, which seeds its rankings."""
        packed = _BUCKET_FORMAT.pack(bucket)
        return xxhash.xxh64_intdigest(packed, self._service_hash)

    def rank_targets(self, bucket: int) -> tuple[Target, ...]:
        """Return the upstreams of a bucket, best first."""
        ranked = self._rankings.get((self, bucket))
        if ranked is None:
            seed = self.hash_bucket(bucket)
            ranked = tuple(
                sorted(
                    self.targets,
                    key=lambda target: _score(target, seed),
                    reverse=True,
                )
            )
            self._rankings.add((self, bucket), ranked)
        return ranked

    def derive_target(
        self, bucket: int, leaving: frozenset[str]
    ) -> Target | None:
        """Return the first upstream of a bucket that isn't leaving.

        Flows that are not pinned are assigned to this upstream.
        """
        ranked = self.rank_targets(bucket)
        for target in ranked:
            if not is_leaving(target, leaving):
                return target
        return None

    def list_domains(self, bucket: int) -> tuple[str, ...]:
        """Return the failure domains of a bucket, its home first."""
        ranked = self.rank_targets(bucket)
        return tuple(dict.fromkeys(t.failure_domain for t in ranked))


class Tables:
    """All tables of one generation of the document."""

    def __init__(
        self, routing: document.Document, former: 'Tables | None' = None
    ) -> None:
        self.document: typing.Final = routing
        reusable = self._find_reusable(former)
        self._rankings: typing.Final = (
            former._rankings if former else RankingCache()
        )
        self.by_name: typing.Final[dict[str, ServiceTable]] = {}
        self.by_address: typing.Final[dict[bytes, ServiceTable]] = {}
        self.by_upstream: typing.Final[dict[bytes, ServiceTable]] = {}
        for team, name, service in routing.iter_services():
            full_name = f'{team}/{name}'
            table = reusable.get(full_name)
            if table is None or table.service != service:
                table = ServiceTable(
                    full_name, service, routing.hash_seed, self._rankings
                )
            self.by_name[full_name] = table
            transport = get_transport_number(service.protocol)
            self.by_address[build_address_key(transport, table.address)] = (
                table
            )
            for target in table.targets:
                key = build_address_key(transport, target.address)
                self.by_upstream[key] = table

    def _find_reusable(
        self, former: 'Tables | None'
    ) -> dict[str, ServiceTable]:
        """Return former tables, to be reused for unchanged services."""
        if former is None:
            return {}
        if former.document.hash_seed != self.document.hash_seed:
            return {}
        return former.by_name


def get_transport_number(protocol: str) -> int:
    """Return the IP protocol number of a service's transport."""
    return 6 if protocol == 'tcp' else 17


def format_address_key(key: bytes) -> str:
    """Return the address in a table key as text."""
    host = '.'.join(str(part) for part in key[1:5])
    return f'{host}:{int.from_bytes(key[5:7])}'


def build_address_key(transport: int, address: addresses.Address) -> bytes:
    """Return the table key of an address."""
    return bytes((transport,)) + address.packed + address.port.to_bytes(2)


def _build_target(
    service: str, name: str, upstream: document.Upstream
) -> Target:
    address = addresses.parse_address(upstream.address)
    return Target(
        name=name,
        service=service,
        failure_domain=upstream.failure_domain,
        address=address,
        endpoint=str(address),
        host=address.packed,
        slots=upstream.slots,
        connections=upstream.connections,
        report=upstream.report,
        draining=upstream.draining,
    )


def _score(target: Target, seed: int) -> float:
    """Return the weighted rendezvous score of an upstream.

    See Schindelhauer and Schomaker, Weighted Distributed Hash Tables (2005).
    """
    digest = xxhash.xxh64_intdigest(target.endpoint.encode(), seed)
    return -target.slots / math.log((digest + 0.5) / _HASH_RANGE)


def rank_vms(
    vm_ids: typing.Iterable[str], bucket_hash: int
) -> tuple[str, ...]:
    """Return VMs by rank for a hash, such as a bucket's, highest first."""
    return tuple(
        sorted(
            vm_ids,
            key=lambda vm_id: xxhash.xxh64_intdigest(
                vm_id.encode(), bucket_hash
            ),
            reverse=True,
        )
    )
