"""Handovers: claims flows from former owners and answers their claims."""

import asyncio
import typing

from loguru import logger

from _savoryhaven import errors
from _savoryhaven.tracking import configuration as configuration_module
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import copies
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import received

RETRY_INTERVAL_S = 0.1
# Attempts to fetch the document that a peer's message refers to.
FETCH_ATTEMPTS = 3

_Count = counters.Count


class Handovers:
    """Claims flows for one VM and answers the claims of its peers."""

    def __init__(
        self,
        context: context_module.Context,
        copier: copies.Copier,
        receiver: received.Receiver,
        configuration: configuration_module.Configuration,
        request: typing.Callable[
            [str, messages.Message], typing.Awaitable[messages.Message]
        ],
        release_held: typing.Callable[[], None],
    ) -> None:
        self._context: typing.Final = context
        self._copier: typing.Final = copier
        self._receiver: typing.Final = receiver
        self._configuration: typing.Final = configuration
        self._request: typing.Final = request
        self._release_held: typing.Final = release_held
        self._claims: set[asyncio.Task[None]] = set()

    def require_all(self) -> None:
        """Require handovers of the buckets that this VM may own now."""
        domain = self._context.settings.failure_domain
        for member in self._context.members.list_peers():
            self._context.former_owners.require_handover(member.vm_id)
            # Claims to other domains start when a packet requires them.
            if member.record.failure_domain == domain:
                self.request_claim(member.vm_id)

    def request_claim(self, vm_id: str) -> None:
        """Start claiming a former owner's flows unless already under way."""
        now = self._context.clock.read_monotonic()
        ticket = self._context.former_owners.start_claim(vm_id, now)
        if ticket is None:
            return
        task = asyncio.create_task(self._claim(vm_id, ticket))
        self._claims.add(task)
        task.add_done_callback(self._claims.discard)

    async def _claim(self, vm_id: str, ticket: former_owners.Ticket) -> None:
        context = self._context
        claim = messages.Claim(
            context.members.me, context.routing.generation, ticket.services
        )
        while context.former_owners.is_claim_pending(vm_id):
            try:
                answer = await self._request(vm_id, claim)
                await self._process_answer(vm_id, ticket, answer)
            except errors.SavoryhavenError as exc:
                # Repeated until the claim times out.
                logger.debug('claim to {} failed: {}', vm_id, exc)
                await asyncio.sleep(RETRY_INTERVAL_S)
        self._release_held()

    async def _process_answer(
        self,
        vm_id: str,
        ticket: former_owners.Ticket,
        answer: messages.Message,
    ) -> None:
        context = self._context
        match answer:
            case messages.FlowCopies():
                await self._fetch_document(vm_id, answer.generation)
                self._receiver.store_copies(answer)
                context.former_owners.complete_claim(vm_id, ticket)
            case messages.ClaimDeclined(generation, seen):
                now = context.clock.read_monotonic()
                context.members.merge(seen, now)
                behind = generation < context.routing.generation
                context.former_owners.defer_claim(vm_id, now, behind=behind)

    def abandon_claim(self, vm_id: str) -> None:
        """Continue without the handover of an unresponsive former owner."""
        logger.warning('no handover from {}; continuing without it', vm_id)
        now = self._context.clock.read_monotonic()
        self._context.former_owners.abandon_claim(vm_id, now)

    async def answer_claim(
        self, claim: messages.Claim, now: float
    ) -> messages.FlowCopies | messages.ClaimDeclined:
        """Return the handover that a new owner claims, or decline it.

        Raises ``SavoryhavenError`` if the new owner's document can't be
        fetched.
        """
        context = self._context
        context.members.merge(claim.sender, now)
        await self._fetch_document(claim.sender.vm_id, claim.generation)
        seen = context.members.get(claim.sender.vm_id)
        behind = context.routing.generation < claim.generation
        if behind or not seen.eligible:
            return messages.ClaimDeclined(
                context.routing.generation, seen.record
            )
        handover = await self._copier.build_handover(
            claim.sender.vm_id, claim.services
        )
        self._context.counters[_Count.HANDOVERS_SENT] += 1
        copies.log_handover(claim.sender.vm_id, handover)
        return handover

    async def receive_copies(
        self, message: messages.FlowCopies
    ) -> messages.FlowCopiesAck:
        """Store copies or a handover sent by a peer.

        Raises ``SavoryhavenError`` if the peer's document can't be fetched.
        """
        await self._fetch_document(message.vm_id, message.generation)
        ack = self._receiver.store_copies(message)
        if message.final:
            self._context.former_owners.note_final_handover(message.vm_id)
        self._release_held()
        return ack

    async def _fetch_document(self, vm_id: str, generation: int) -> None:
        """Fetch the document that a peer's message refers to."""
        for _ in range(FETCH_ATTEMPTS):
            if self._context.routing.generation >= generation:
                return
            await self._configuration.fetch_from(vm_id)

    async def hand_over_all(self) -> None:
        """Send a final handover to all VMs that may take over buckets."""
        receivers = [m.vm_id for m in self._context.members.list_eligible()]
        built = await self._copier.build_handovers(receivers, final=True)
        await asyncio.gather(
            *(
                self._hand_over(vm_id, handover)
                for vm_id, handover in built.items()
            )
        )

    async def _hand_over(
        self, vm_id: str, handover: messages.FlowCopies
    ) -> None:
        while True:
            try:
                await self._request(vm_id, handover)
                break
            except errors.PeerError as exc:
                logger.warning('handover to {} failed: {}', vm_id, exc)
                member = self._context.members.get(vm_id)
                if member is None or not member.eligible:
                    return
                await asyncio.sleep(RETRY_INTERVAL_S)
        self._context.counters[_Count.HANDOVERS_SENT] += 1
        copies.log_handover(vm_id, handover)
