"""Changes of routing documents: new generations, extracts and merges.

A peer that has generation 7 is sent just the sections that changed after it.
An address that a service gives up stays reserved for it for some time.
"""

import attrs

from _savoryhaven import errors
from _savoryhaven.tracking import checks
from _savoryhaven.tracking import document

# Time for which no other service may use an address that a service gave up.
# VMs that were cut off may still send packets of the former service to it.
ADDRESS_RESERVATION_S = 7_200


@attrs.frozen
class SectionChange:
    """The sections that changed after a generation, for a peer that has it."""

    base_generation: int
    document: document.Document
    unchanged: tuple[str, ...]


def replace_section(
    routing: document.Document,
    team: str,
    section: document.Section,
    *,
    write_id: str,
    now_s: int,
) -> document.Document:
    """Return the next generation, with one team's section replaced.

    ``now_s`` is the time in seconds since 1970. Raises ``DocumentError``.
    """
    generation = routing.generation + 1
    changed = attrs.evolve(section, changed_in=generation)
    sections = {**routing.sections, team: changed}
    changed_document = attrs.evolve(
        routing, generation=generation, write_id=write_id, sections=sections
    )
    return finalize_document(routing, changed_document, now_s=now_s)


def finalize_document(
    former: document.Document | None, changed: document.Document, *, now_s: int
) -> document.Document:
    """Return a changed document, checked, with its retired addresses.

    Raises ``DocumentError`` as ``check_document`` and ``check_size`` do, and
    ``SH210`` for an address that is reserved for another service.
    """
    checks.check_document(changed)
    if former is not None:
        retired = _compute_retired(former, changed, now_s)
        changed = attrs.evolve(changed, retired=retired)
    checks.check_size(changed)
    return changed


def _compute_retired(
    former: document.Document, changed: document.Document, now_s: int
) -> dict[str, document.Retired]:
    """Return the retired addresses after a change.

    Raises ``DocumentError`` ``SH210`` for a service that takes an address
    which another one has, or which is still reserved for another one.
    """
    before = {claim.key: claim.service for claim in checks.iter_claims(former)}
    retired = {
        key: entry
        for key, entry in former.retired.items()
        if entry.until_s > now_s
    }
    for key, service in before.items():
        retired.setdefault(
            key,
            document.Retired(
                service=service, until_s=now_s + ADDRESS_RESERVATION_S
            ),
        )
    problems = []
    for claim in checks.iter_claims(changed):
        entry = retired.pop(claim.key, None)
        if entry is not None and entry.service != claim.service:
            problems.append(_explain_reservation(claim, entry, now_s))
    if problems:
        raise errors.DocumentError(*problems)
    return retired


def _explain_reservation(
    claim: checks.Claim, entry: document.Retired, now_s: int
) -> errors.Problem:
    return errors.Problem(
        code='SH210',
        message=f'{claim.key} is reserved for {entry.service}',
        path=claim.path,
        hint=(
            f'VMs that were cut off may still send its packets there; '
            f'use another address, or wait {entry.until_s - now_s} s'
        ),
    )


def extract_change(
    routing: document.Document, base_generation: int
) -> SectionChange:
    """Return what a peer with an older generation lacks."""
    changed = {}
    unchanged = []
    for team, section in routing.sections.items():
        if section.changed_in > base_generation:
            changed[team] = section
        else:
            unchanged.append(team)
    return SectionChange(
        base_generation=base_generation,
        document=attrs.evolve(routing, sections=changed),
        unchanged=tuple(unchanged),
    )


def merge_change(
    base: document.Document | None, change: SectionChange
) -> document.Document:
    """Return the whole document that results from a change.

    Raises ``DocumentError`` ``SH209`` when the base lacks a section that the
    change marks as unchanged, or has a later version of it.
    """
    sections = dict(change.document.sections)
    for team in change.unchanged:
        section = base.sections.get(team) if base else None
        if section is None or section.changed_in > change.base_generation:
            raise document.make_error(
                'SH209', f'the base lacks the unchanged section {team}'
            )
        sections[team] = section
    return attrs.evolve(change.document, sections=sections)
