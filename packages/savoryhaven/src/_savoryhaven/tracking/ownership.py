"""The owner, successor and departed owners of each bucket.

The owner of a bucket is chosen by rendezvous hashing among the VMs in the
failure domain of the bucket's first upstream, its home domain. A packet
therefore crosses between domains at most once. Each service uses only a few
VMs per domain, whatever the size of the fleet, so that each owner has enough
of the service's flows for its counts to be meaningful.
"""

import attrs

from _savoryhaven.tracking import membership
from _savoryhaven.tracking import placement

OWNERS_PER_DOMAIN = 8
# Extra candidates in a search for former owners, as VMs that joined may have
# displaced them.
FORMER_MARGIN = 2
# Entries per cache, about 300 B each.
CACHE_LIMIT = 10_000


@attrs.frozen
class Ownership:
    """The VMs responsible for a bucket.

    ``departed`` are former members that ranked above the present owner,
    closest rank first. ``owner`` is None if no VM may own the bucket.
    """

    owner: str | None
    successor: str | None
    departed: tuple[str, ...]
    domain: str
    # Whether it depends on the members of the home domain only.
    home_only: bool = False


_Key = tuple[placement.ServiceTable, int]


@attrs.define
class _DomainCache:
    """Cached results for one version of a domain's members."""

    version: int
    owned: dict[_Key, Ownership] = attrs.field(factory=dict)
    candidates: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def is_full(self) -> bool:
        """Return whether the cache has reached its limit."""
        return len(self.owned) > CACHE_LIMIT


class Owners:
    """Computes and caches the ownership of buckets."""

    def __init__(self, members: membership.Members) -> None:
        self._members = members
        self._gone_domains: frozenset[str] = frozenset()
        # By home domain, so that a change in one leaves the others cached.
        self._domain_caches: dict[str, _DomainCache] = {}
        # Buckets whose ownership depends on several domains.
        self._cross_domain: dict[_Key, Ownership] = {}
        self._cross_domain_version = 0

    @property
    def gone_domains(self) -> frozenset[str]:
        """Return the domains that have no VM left, as the platform reports."""
        return self._gone_domains

    def set_gone_domains(self, domains: frozenset[str]) -> None:
        """Set the domains that have no VM left.

        Other domains may take over their non-idempotent services too.
        """
        if domains != self._gone_domains:
            self._gone_domains = domains
            self._cross_domain_version = 0

    def find(self, table: placement.ServiceTable, bucket: int) -> Ownership:
        """Return the ownership of a bucket."""
        key = (table, bucket)
        cache = self._get_domain_cache(table, bucket)
        found = cache.owned.get(key)
        if found is not None:
            return found
        stale = self._cross_domain_version != self._members.version
        if stale or len(self._cross_domain) > CACHE_LIMIT:
            self._cross_domain.clear()
            self._cross_domain_version = self._members.version
        found = self._cross_domain.get(key)
        if found is not None:
            return found
        found = self._find(table, bucket)
        home_only = found.owner is not None and found.home_only
        (cache.owned if home_only else self._cross_domain)[key] = found
        return found

    def _get_domain_cache(
        self, table: placement.ServiceTable, bucket: int
    ) -> _DomainCache:
        """Return the up-to-date cache of a bucket's home domain."""
        ranked = table.rank_targets(bucket)
        domain = ranked[0].failure_domain if ranked else ''
        version = self._members.get_domain_version(domain)
        cache = self._domain_caches.get(domain)
        if cache is None or cache.version != version or cache.is_full():
            cache = _DomainCache(version)
            self._domain_caches[domain] = cache
        return cache

    def list_candidates(self, table: placement.ServiceTable) -> set[str]:
        """Return the VMs that may own a service's buckets, or did recently."""
        found: set[str] = set()
        for domain in {t.failure_domain for t in table.targets}:
            found.update(
                self._build_candidates(
                    table, domain, OWNERS_PER_DOMAIN + FORMER_MARGIN
                )
            )
        return found

    def clear_cache(self) -> None:
        """Clear the cache after the tables were replaced."""
        self._domain_caches.clear()
        self._cross_domain_version = 0

    def _find(self, table: placement.ServiceTable, bucket: int) -> Ownership:
        domains = table.list_domains(bucket)
        bucket_hash = table.hash_bucket(bucket)
        for domain in domains:
            found = self._find_in_domain(table, domain, bucket_hash)
            if found.owner is not None:
                break
            if not self._may_take_over(table, domain):
                return found
        else:
            return Ownership(None, None, (), domains[0] if domains else '')
        if found.successor is None:
            successor = self._find_outside_successor(domain, bucket_hash)
            return attrs.evolve(found, successor=successor)
        return attrs.evolve(found, home_only=domain == domains[0])

    def _may_take_over(
        self, table: placement.ServiceTable, domain: str
    ) -> bool:
        """Return whether other domains may take over from an unreachable one.

        Its VMs may be partitioned and still forwarding. That is harmless for
        an idempotent service; any other waits until the platform reports that
        the domain has no VM left.
        """
        return table.service.idempotent or domain in self._gone_domains

    def _find_in_domain(
        self, table: placement.ServiceTable, domain: str, bucket_hash: int
    ) -> Ownership:
        candidates = self._list_domain_candidates(table, domain)
        ranked = placement.rank_vms(candidates, bucket_hash)
        eligible = []
        departed = []
        for vm_id in ranked:
            member = self._members.get(vm_id)
            if member is not None and member.eligible:
                eligible.append(vm_id)
            elif not eligible:
                departed.append(vm_id)
        owner = eligible[0] if eligible else None
        successor = eligible[1] if len(eligible) > 1 else None
        return Ownership(owner, successor, tuple(reversed(departed)), domain)

    def _list_domain_candidates(
        self, table: placement.ServiceTable, domain: str
    ) -> tuple[str, ...]:
        """Return the VMs of a domain that may own buckets of a service.

        The highest eligible VMs in the service's ranking, and the departed
        members ranked among them.
        """
        version = self._members.get_domain_version(domain)
        cache = self._domain_caches.get(domain)
        if cache is None or cache.version != version:
            return self._build_candidates(table, domain, OWNERS_PER_DOMAIN)
        found = cache.candidates.get(table.name)
        if found is None:
            found = self._build_candidates(table, domain, OWNERS_PER_DOMAIN)
            cache.candidates[table.name] = found
        return found

    def _build_candidates(
        self, table: placement.ServiceTable, domain: str, wanted: int
    ) -> tuple[str, ...]:
        members = {
            m.vm_id: m for m in self._members.list_domain_members(domain)
        }
        service_hash = table.hash_bucket(table.service.buckets)
        chosen = []
        eligible = 0
        for vm_id in placement.rank_vms(members, service_hash):
            chosen.append(vm_id)
            eligible += members[vm_id].eligible
            if eligible == wanted:
                break
        return tuple(chosen)

    def _find_outside_successor(
        self, home: str, bucket_hash: int
    ) -> str | None:
        """Return a VM of another domain that can store copies, or None.

        Its domain need not have upstreams of the service.
        """
        outside = [
            member.vm_id
            for member in self._members.list_eligible()
            if member.record.failure_domain != home
        ]
        ranked = placement.rank_vms(outside, bucket_hash)
        return ranked[0] if ranked else None


def is_first_of_domain(
    members: membership.Members, salt: int, wanted: int
) -> bool:
    """Return whether this VM ranks among the first of its domain.

    Only VMs that can reach the platform are ranked; the first few per domain
    watch it.
    """
    me = members.me
    candidates = [
        member.vm_id
        for member in members.list_eligible(me.failure_domain)
        if member.knowledge.platform_reachable or member.vm_id == me.vm_id
    ]
    return me.vm_id in placement.rank_vms(candidates, salt)[:wanted]
