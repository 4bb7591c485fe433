"""The routing document in force on this VM and its tables.

A document is adopted as a whole, and only if its generation is higher than
the one in force, whatever its source. The last few tables of each service are
kept, because flows derived from them by former owners may still be open.
"""

import attrs

from _savoryhaven.tracking import checks
from _savoryhaven.tracking import document as document_module
from _savoryhaven.tracking import placement

# Tables kept per service.
HISTORY_LIMIT = 16
# How long responses are still forwarded after the upstream was removed.
ORIGIN_LINGER_S = 3_600.0
# Expired origins are removed once more than this are stored.
EXPIRING_ORIGINS_LIMIT = 20_000


@attrs.frozen
class Origin:
    """The service address that replaces the source of a response.

    ``endpoint`` is the address of the upstream that sent it.
    """

    host: bytes
    port: int
    service: str
    endpoint: str


@attrs.frozen
class _ExpiringOrigin:
    origin: Origin
    until: float


@attrs.frozen
class _TableVersion:
    """A table of a service and the generation that introduced it."""

    generation: int
    table: placement.ServiceTable


@attrs.frozen
class Adopted:
    """A document was adopted; ``changed`` names the services that differ."""

    tables: placement.Tables
    changed: frozenset[str]


@attrs.frozen
class Ignored:
    """A document was ignored, as it is not newer than the one in force."""

    generation: int


class Routing:
    """The tables in force, their history, and the origins of responses."""

    def __init__(self) -> None:
        self.tables: placement.Tables | None = None
        self.view = placement.View()
        self.list_revision = 0
        # The leaving upstreams of the platform's list, without those of
        # evacuated failure domains.
        self.listed_leaving: frozenset[str] = frozenset()
        self.evacuations_revision = 0
        self.evacuated_domains: frozenset[str] = frozenset()
        self._history: dict[str, list[_TableVersion]] = {}
        self._origins: dict[bytes, Origin] = {}
        self._expiring_origins: dict[bytes, _ExpiringOrigin] = {}

    @property
    def generation(self) -> int:
        """Return the generation in force, or 0 without a document."""
        return self.tables.document.generation if self.tables else 0

    def adopt(
        self, document: document_module.Document, now: float
    ) -> Adopted | Ignored:
        """Adopt a document if it is newer than the one in force.

        Raises ``DocumentError`` and changes nothing if it is invalid.
        """
        if document.generation <= self.generation:
            return Ignored(document.generation)
        checks.check_document(document)
        former = self.tables
        tables = placement.Tables(document, former)
        self.tables = tables
        self._update_view()
        changed = _find_changed(former, tables)
        self._add_to_history(tables, changed)
        self._replace_origins(tables, now)
        return Adopted(tables, changed)

    def set_leaving(
        self, revision: int, leaving: frozenset[str]
    ) -> frozenset[str]:
        """Set the leaving upstreams and return those that changed.

        Ignored unless the revision is newer than the current one.
        """
        if revision <= self.list_revision:
            return frozenset()
        self.list_revision = revision
        differing = self.listed_leaving ^ leaving
        self.listed_leaving = leaving
        self._update_view()
        return differing

    def set_evacuated(
        self, revision: int, domains: frozenset[str]
    ) -> frozenset[str]:
        """Set the evacuated failure domains and return those that changed.

        Ignored unless the revision is newer than the current one.
        """
        if revision <= self.evacuations_revision:
            return frozenset()
        self.evacuations_revision = revision
        differing = self.evacuated_domains ^ domains
        self.evacuated_domains = domains
        self._update_view()
        return differing

    def _update_view(self) -> None:
        """Derive the view; upstreams of evacuated domains count as leaving.

        So they get no new flows, while their open flows are pinned, copied
        and handed over like those of any leaving upstream.
        """
        self.view = placement.View(
            generation=self.generation,
            leaving=self.listed_leaving | self.evacuated_domains,
        )

    def find_table(
        self, service: str, generation: int
    ) -> placement.ServiceTable | None:
        """Return the table that a service had in a generation.

        If it is no longer kept, the oldest one is returned instead.
        """
        table = None
        for version in self._history.get(service, ()):
            if version.generation <= generation or table is None:
                table = version.table
        return table

    def find_target(
        self, service: str, address: str
    ) -> placement.Target | None:
        """Return a present or former upstream of a service, or None."""
        for version in reversed(self._history.get(service, ())):
            target = version.table.by_address.get(address)
            if target is not None:
                return target
        return None

    def find_previous(
        self, table: placement.ServiceTable
    ) -> placement.ServiceTable | None:
        """Return the previous table of a service, or None."""
        versions = self._history.get(table.name, ())
        return versions[-2].table if len(versions) > 1 else None

    def find_origin(self, source_key: bytes, now: float) -> Origin | None:
        """Return the service address for an upstream's response, or None."""
        origin = self._origins.get(source_key)
        if origin is not None:
            return origin
        expiring = self._expiring_origins.get(source_key)
        if expiring is None or expiring.until < now:
            return None
        return expiring.origin

    def may_send(
        self, table: placement.ServiceTable, target: placement.Target
    ) -> bool:
        """Return whether a service may send packets to an upstream.

        An upstream that was removed from the document still serves its open
        flows, unless its address now belongs to another service.
        """
        if target.service != table.name:
            return False
        if table.by_address.get(target.endpoint) is not None:
            return True
        transport = placement.get_transport_number(table.service.protocol)
        key = placement.build_address_key(transport, target.address)
        return key not in self.tables.by_upstream

    def _add_to_history(
        self, tables: placement.Tables, changed: frozenset[str]
    ) -> None:
        for name in changed:
            table = tables.by_name.get(name)
            if table is None:
                continue
            versions = self._history.setdefault(name, [])
            versions.append(_TableVersion(tables.document.generation, table))
            del versions[:-HISTORY_LIMIT]

    def _replace_origins(self, tables: placement.Tables, now: float) -> None:
        former = self._origins
        self._origins = {
            key: Origin(
                table.host,
                table.address.port,
                table.name,
                placement.format_address_key(key),
            )
            for key, table in tables.by_upstream.items()
        }
        until = now + ORIGIN_LINGER_S
        for key, origin in former.items():
            if key not in self._origins:
                self._expiring_origins[key] = _ExpiringOrigin(origin, until)
        if len(self._expiring_origins) > EXPIRING_ORIGINS_LIMIT:
            self._expiring_origins = {
                key: expiring
                for key, expiring in self._expiring_origins.items()
                if expiring.until >= now
            }


def _find_changed(
    former: placement.Tables | None, tables: placement.Tables
) -> frozenset[str]:
    previous = former.by_name if former else {}
    changed = {
        name
        for name, table in tables.by_name.items()
        if previous.get(name) is not table
    }
    changed.update(name for name in previous if name not in tables.by_name)
    return frozenset(changed)
