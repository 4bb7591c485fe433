"""How one routing document follows from another.

A peer that has generation 7 is sent just the sections that changed after it.
An address that a service gives up rests before another service may have it.
"""

import attrs

from _savoryhaven import errors
from _savoryhaven.tracking import checks
from _savoryhaven.tracking import document

# An address that one service gives up rests for so long before another may
# have it. VMs that were cut off may go on sending to it in the meantime.
REST_S = 7_200


@attrs.frozen
class SectionChange:
    """What a peer lacks: the sections that changed after a generation."""

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
    return settle_document(routing, changed_document, now_s=now_s)


def settle_document(
    former: document.Document | None, changed: document.Document, *, now_s: int
) -> document.Document:
    """Return a changed document, checked, with the addresses at rest.

    Raises ``DocumentError`` as ``check_document`` and ``check_size`` do, and
    ``SH210`` for an address that rests.
    """
    checks.check_document(changed)
    if former is not None:
        resting = _rest_addresses(former, changed, now_s)
        changed = attrs.evolve(changed, retired=resting)
    checks.check_size(changed)
    return changed


def _rest_addresses(
    former: document.Document, changed: document.Document, now_s: int
) -> dict[str, document.Retired]:
    """Return the addresses at rest after a change.

    Raises ``DocumentError`` ``SH210`` for a service that takes an address
    which another one has, or had until lately.
    """
    before = {claim.key: claim.service for claim in checks.iter_claims(former)}
    resting = {
        key: rest
        for key, rest in former.retired.items()
        if rest.until_s > now_s
    }
    for key, service in before.items():
        resting.setdefault(
            key, document.Retired(service=service, until_s=now_s + REST_S)
        )
    problems = []
    for claim in checks.iter_claims(changed):
        rest = resting.pop(claim.key, None)
        if rest is not None and rest.service != claim.service:
            problems.append(_explain_rest(claim, rest, now_s))
    if problems:
        raise errors.DocumentError(*problems)
    return resting


def _explain_rest(
    claim: checks.Claim, rest: document.Retired, now_s: int
) -> errors.Problem:
    return errors.Problem(
        code='SH210',
        message=f'{claim.key} was an address of {rest.service}',
        path=claim.path,
        hint=(
            f'VMs that were cut off may still send its packets there; '
            f'take another, or wait {rest.until_s - now_s} s'
        ),
    )


def extract_change(
    routing: document.Document, base_generation: int
) -> SectionChange:
    """Return what a holder of an older generation lacks."""
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
    """Return the whole document that a change leads to.

    Raises ``DocumentError`` ``SH209`` when the base lacks a section, or
    holds one that differs from what the sender called unchanged.
    """
    sections = dict(change.document.sections)
    for team in change.unchanged:
        held = base.sections.get(team) if base else None
        if held is None or held.changed_in > change.base_generation:
            raise document.fail(
                'SH209', f'the change builds on a lost section {team}'
            )
        sections[team] = held
    return attrs.evolve(change.document, sections=sections)
