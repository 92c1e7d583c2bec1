"""Limits that targets state on the requests they take from all entries together, and the gates that keep to them.

The sidecar of an engine paces the requests that it grants, so that it is the gate of its target. The gate of a target
that has none, or whose sidecar does not respond, is chosen by rendezvous from all sidecars, so that entries agree on it
without an exchange; where there are no sidecars, it is chosen from the entries, which tell each other of those
that run (`known_entries`). Every process
that learns of a limit tells the others, so that one that restarts knows of it before it calls the target.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

from loguru import logger

from tamarackfield.core import BOOT_CLOCK, Address, TamarackfieldError, split_address
from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.time_limits import time_limit, wait_within
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.directory import Directory, Target
from tamarackfield.gateway.exchange import NotRun
from tamarackfield.gateway.links import ANSWER_MARGIN_SECONDS, Answer, ManagerLink
from tamarackfield.manager.request_limits import TargetLimits
from tamarackfield.policy.request_limits import (
    GATE_RETRY_SECONDS,
    MAX_PERMIT_WAIT_SECONDS,
    MAX_PROBE_INTERVAL_SECONDS,
)
from tamarackfield.policy.ring import order_by_rendezvous
from tamarackfield.wire.messages import Hello
from tamarackfield.wire.request_limits import AskPermit, RequestLimit, decode_limit, encode_limit
from tamarackfield.wire.reservations import Granted
from tamarackfield.wire.stream import PeerBusyError, PeerStream, StreamClosedError, connect

#: Number of processes in the order of rendezvous that entries use as gates: the first choice, and one in its place.
MAX_GATES = 2
#: Seconds between two decisions of a gate in an entry.
GATE_CHECK_SECONDS = 0.02

#: Makes a message from the number of the request.
MessageMaker = Callable[[int], AskPermit]
#: Asks a gate; None is its answer if it does not respond.
Gate = Callable[[MessageMaker], Awaitable[Answer | None]]


class RequestLimits:
    """Limits of the targets of one entry.

    Parameters
    ----------
    directory : Directory
        Targets, which hold their limits.
    links : dict
        Links to all sidecars by the IP number of their machine.
    hello : callable
        Returns the greeting that identifies this process.

    Attributes
    ----------
    list_entries : callable
        Returns the addresses of the entries that run, as all entries know them.
    held_back : int
        Number of times that a gate did not admit a call.
    """

    def __init__(self, directory: Directory, links: dict[str, ManagerLink], hello: Callable[[], Hello]) -> None:
        """Store the collaborators."""
        self.directory = directory
        self.links = links
        self.hello = hello
        self.list_entries: Callable[[], Iterable[str]] = tuple
        self.rng = random.Random()  # noqa: S311 spreads probes
        self.held_back = 0

    def attach(self, link: ManagerLink) -> None:
        """Exchange limits with the sidecar of a new link."""
        link.on_limit = self.record_report
        link.list_limits = self.list_messages

    def announce(self, target: Target) -> None:
        """Tell all sidecars of a change that an answer of a target stated; they tell the other entries."""
        for link in self.links.values():
            link.send_best_effort(_make_message(target))

    def record_report(self, message: RequestLimit) -> None:
        """Record what a sidecar says of the limit of a target."""
        target = self.directory.targets.get(message.target)
        if target is not None and target.record.started_ms == message.started_ms:
            target.record_limit(decode_limit(message.limit_mrps), 'sidecar', BOOT_CLOCK.monotonic())

    def list_messages(self) -> list[RequestLimit]:
        """Return the messages that tell a sidecar of all limits."""
        return [_make_message(target) for target in self.directory.targets.values() if target.request_limit is not None]

    def record_refusal(self, target: Target, retry_seconds: float) -> None:
        """Record that the gate of a target admits no further request for some time."""
        self.held_back += 1
        target.permit_due_at = BOOT_CLOCK.monotonic() + retry_seconds

    async def require_permit(self, call_state: CallState, target: Target, may_wait: bool) -> NotRun | None:
        """Get the permit to send a call to a target with a limit; return `NotRun` if no gate gives one.

        A call that has another target to go to may not wait for its turn.
        """
        # The sidecar of an engine is its first choice.
        passes_by_sidecar = target.record.address[0] in self.links
        for rank, ask in enumerate(self._list_gates(target)):
            backup = passes_by_sidecar or rank > 0
            answer = await ask(partial(_make_ask, call_state, target, may_wait, backup))
            if isinstance(answer, Granted):
                return None
            if answer is not None:
                retry_seconds = answer.retry_ms / MS_PER_SECOND
                self.record_refusal(target, retry_seconds)
                return NotRun('request limit of the target', sent=False, retry_seconds=retry_seconds)
        return self._probe(target)

    def _list_gates(self, target: Target) -> list[Gate]:
        """Return the gates of a target, those that all entries prefer first."""
        if not self.links:
            addresses = order_by_rendezvous(target.record.name, self.list_entries())[:MAX_GATES]
            return [partial(_ask_entry, split_address(address), self.hello) for address in addresses]
        hosts = [host for host in self.links if host != target.record.address[0]]
        return [
            partial(_ask_sidecar, self.links[host])
            for host in order_by_rendezvous(target.record.name, hosts)[:MAX_GATES]
        ]

    def _probe(self, target: Target) -> NotRun | None:
        """Let a rare call pass without a permit, since only an answer tells that the need of a target is over."""
        now = BOOT_CLOCK.monotonic()
        is_due = 0 < target.probe_due_at <= now
        if is_due or not target.probe_due_at:
            target.probe_due_at = now + self.rng.uniform(0, MAX_PROBE_INTERVAL_SECONDS)
        if is_due:
            logger.bind(target=target.record.name, limit=target.request_limit).info('limit_probe')
            return None
        self.record_refusal(target, GATE_RETRY_SECONDS)
        return NotRun('no gate for the request limit of the target', sent=False)


class EntryGates:
    """Gates of plain targets in an entry, for deployments without sidecars."""

    def __init__(self) -> None:
        """Create gates that nobody has asked."""
        self.limits = TargetLimits()
        self.numbers = itertools.count(1)
        self.waiters: dict[int, asyncio.Future[Answer]] = {}

    async def wait_for_answer(self, message: AskPermit) -> Answer:
        """Return the decision on the request of an entry, which waits for `MAX_PERMIT_WAIT_SECONDS` at most."""
        number = next(self.numbers)
        waiter: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.waiters[number] = waiter
        self.limits.ask(number, message, BOOT_CLOCK.monotonic())
        try:
            while not waiter.done():
                self._decide()
                await wait_within(waiter, GATE_CHECK_SECONDS)
            return waiter.result()
        finally:
            self.waiters.pop(number)

    def _decide(self) -> None:
        for number, answer in self.limits.decide(BOOT_CLOCK.monotonic()):
            waiter = self.waiters.get(number)
            if waiter is not None and not waiter.done():
                waiter.set_result(answer)


async def _ask_sidecar(link: ManagerLink, make_message: MessageMaker) -> Answer | None:
    """Return the answer of a sidecar, None if it does not respond."""
    if link.is_silent() or link.draining:
        return None
    try:
        _, answer = await link.ask(make_message, MAX_PERMIT_WAIT_SECONDS)
    except (StreamClosedError, PeerBusyError) as exc:
        logger.bind(peer=exc.peer, step=exc.step, error=exc.message).info('gate_not_asked')
        return None
    return answer


async def _ask_entry(address: Address, hello: Callable[[], Hello], make_message: MessageMaker) -> Answer | None:
    """Return the answer of an entry, None if it does not respond."""
    stream: PeerStream | None = None
    try:
        async with time_limit(MAX_PERMIT_WAIT_SECONDS + ANSWER_MARGIN_SECONDS):
            stream = await connect(*address, None)
            await stream.exchange_hellos(hello())
            stream.send(make_message(1))
            answer = await stream.receive()
    except (TamarackfieldError, TimeoutError) as exc:
        logger.bind(peer=f'{address[0]}:{address[1]}', error=repr(exc)).info('gate_not_asked')
        return None
    finally:
        if stream is not None:
            stream.abort()
    return answer if isinstance(answer, Answer) else None


def _make_ask(call_state: CallState, target: Target, may_wait: bool, backup: bool, number: int) -> AskPermit:
    return AskPermit(
        request_id=number,
        label=call_state.call.request_id,
        target=target.record.name,
        started_ms=target.record.started_ms,
        limit_mrps=encode_limit(target.request_limit),
        priority=call_state.priority(),
        wait_ms=round(MAX_PERMIT_WAIT_SECONDS * MS_PER_SECOND) if may_wait else 0,
        backup=backup,
    )


def _make_message(target: Target) -> RequestLimit:
    return RequestLimit(target.record.name, target.record.started_ms, encode_limit(target.request_limit))
