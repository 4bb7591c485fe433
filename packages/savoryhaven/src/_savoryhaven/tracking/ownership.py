"""Which VM decides about a bucket, who stands in for it, who did before.

The owner of a bucket is the winner of rendezvous hashing among the VMs of
the failure domain of the bucket's first upstream, so a packet crosses from
one domain to another at most once on its way. A service keeps to a few VMs of
a domain, whatever the size of the fleet, so that their counts of flows mean
something.
"""

import attrs

from _savoryhaven.tracking import membership
from _savoryhaven.tracking import placement

OWNERS_PER_DOMAIN = 8
# A VM that joined may have pushed another one off the list of candidates.
FORMER_MARGIN = 2
# Per failure domain, at about 300 B each.
CACHE_LIMIT = 10_000


@attrs.frozen
class Ownership:
    """The VMs that matter to a bucket.

    ``departed`` are former members that would own the bucket, were they
    still there, nearest first. ``owner`` is None when no VM may decide.
    """

    owner: str | None
    successor: str | None
    departed: tuple[str, ...]
    domain: str
    # Whether the members of the home domain alone decided it.
    at_home: bool = False


_Key = tuple[placement.ServiceTable, int]


@attrs.define
class _Home:
    """What was found out for one version of a domain's members."""

    version: int
    owned: dict[_Key, Ownership] = attrs.field(factory=dict)
    candidates: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

    def is_full(self) -> bool:
        """Return whether it is time to start anew."""
        return len(self.owned) > CACHE_LIMIT


class Owners:
    """Finds owners, for the members and gone domains of the moment."""

    def __init__(self, members: membership.Members) -> None:
        self._members = members
        self._gone: frozenset[str] = frozenset()
        # By home domain, so that news of one domain leaves the others.
        self._homes: dict[str, _Home] = {}
        # Buckets that were decided by the members of several domains.
        self._abroad: dict[_Key, Ownership] = {}
        self._abroad_version = 0

    @property
    def gone_domains(self) -> frozenset[str]:
        """Return the domains that the platform says have no VM any more."""
        return self._gone

    def set_gone_domains(self, domains: frozenset[str]) -> None:
        """Let other domains take over non-idempotent services of these."""
        if domains != self._gone:
            self._gone = domains
            self._abroad_version = 0

    def find(self, table: placement.ServiceTable, bucket: int) -> Ownership:
        """Return the ownership of a bucket."""
        key = (table, bucket)
        home = self._get_home(table, bucket)
        found = home.owned.get(key)
        if found is not None:
            return found
        stale = self._abroad_version != self._members.version
        if stale or len(self._abroad) > CACHE_LIMIT:
            self._abroad.clear()
            self._abroad_version = self._members.version
        found = self._abroad.get(key)
        if found is not None:
            return found
        found = self._find(table, bucket)
        decided_at_home = found.owner is not None and found.at_home
        (home.owned if decided_at_home else self._abroad)[key] = found
        return found

    def _get_home(self, table: placement.ServiceTable, bucket: int) -> _Home:
        """Return what is known of a bucket's home domain by now."""
        ranked = table.rank_targets(bucket)
        domain = ranked[0].failure_domain if ranked else ''
        version = self._members.get_domain_version(domain)
        home = self._homes.get(domain)
        if home is None or home.version != version or home.is_full():
            home = _Home(version)
            self._homes[domain] = home
        return home

    def list_candidates(self, table: placement.ServiceTable) -> set[str]:
        """Return the VMs that own buckets of a service, or did lately."""
        found: set[str] = set()
        for domain in {t.failure_domain for t in table.targets}:
            found.update(
                self._build_candidates(
                    table, domain, OWNERS_PER_DOMAIN + FORMER_MARGIN
                )
            )
        return found

    def forget_tables(self) -> None:
        """Drop what was cached for tables that are no longer in force."""
        self._homes.clear()
        self._abroad_version = 0

    def _find(self, table: placement.ServiceTable, bucket: int) -> Ownership:
        domains = table.list_domains(bucket)
        bucket_hash = table.hash_bucket(bucket)
        for domain in domains:
            found = self._find_in_domain(table, domain, bucket_hash)
            if found.owner is not None:
                break
            if not self._may_leave(table, domain):
                return found
        else:
            return Ownership(None, None, (), domains[0] if domains else '')
        if found.successor is None:
            successor = self._find_outside(domain, bucket_hash)
            return attrs.evolve(found, successor=successor)
        return attrs.evolve(found, at_home=domain == domains[0])

    def _may_leave(self, table: placement.ServiceTable, domain: str) -> bool:
        """Return whether a bucket may be taken over from a silent domain.

        Its VMs may be cut off and still at work. An idempotent service
        loses nothing by that; another waits until the platform says that
        the domain has no VM any more.
        """
        return table.service.idempotent or domain in self._gone

    def _find_in_domain(
        self, table: placement.ServiceTable, domain: str, bucket_hash: int
    ) -> Ownership:
        shortlist = self._list_candidates(table, domain)
        ranked = placement.rank_vms(shortlist, bucket_hash)
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

    def _list_candidates(
        self, table: placement.ServiceTable, domain: str
    ) -> tuple[str, ...]:
        """Return the VMs of a domain that may own buckets of a service.

        The first eligible ones in the service's own ranking, and the former
        members that stand between them.
        """
        version = self._members.get_domain_version(domain)
        home = self._homes.get(domain)
        if home is None or home.version != version:
            return self._build_candidates(table, domain, OWNERS_PER_DOMAIN)
        found = home.candidates.get(table.name)
        if found is None:
            found = self._build_candidates(table, domain, OWNERS_PER_DOMAIN)
            home.candidates[table.name] = found
        return found

    def _build_candidates(
        self, table: placement.ServiceTable, domain: str, wanted: int
    ) -> tuple[str, ...]:
        members = {m.vm_id: m for m in self._members.list_domain(domain)}
        service_hash = table.hash_bucket(table.service.buckets)
        chosen = []
        eligible = 0
        for vm_id in placement.rank_vms(members, service_hash):
            chosen.append(vm_id)
            eligible += members[vm_id].eligible
            if eligible == wanted:
                break
        return tuple(chosen)

    def _find_outside(self, home: str, bucket_hash: int) -> str | None:
        """Return a VM of another domain to keep copies, where home has none.

        Domains without upstreams of the service serve as well.
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
    """Return whether this VM is among the first few of its domain.

    Of the VMs that can reach the platform, a few per domain watch it.
    """
    me = members.me
    candidates = [
        member.vm_id
        for member in members.list_eligible(me.failure_domain)
        if member.knowledge.platform_reachable or member.vm_id == me.vm_id
    ]
    return me.vm_id in placement.rank_vms(candidates, salt)[:wanted]
