"""The gate that an entry asks for a permit, and what it does without one."""

import asyncio
import itertools

import pytest

from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.request_limits import EntryGates, RequestLimits
from tamarackfield.gateway.tests.samples import make_call, make_route, make_target_record
from tamarackfield.wire.request_limits import LIMIT_CODE, AskPermit
from tamarackfield.wire.reservations import Declined, Granted
from tamarackfield.wire.stream import StreamClosedError

HOSTS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')


class Gate:
    """Link to a sidecar that records what it is asked and gives a set answer."""

    def __init__(self, answer=None):
        self.answer = answer or Granted(1, 0, 0)
        self.asked = []
        self.draining = False
        self.silent = False

    def is_silent(self):
        return self.silent

    async def ask(self, make_message, seconds):
        if isinstance(self.answer, StreamClosedError):
            raise self.answer
        self.asked.append(make_message(1))
        return 1, self.answer


def make_limits(gates, host='10.0.0.9'):
    directory = Directory()
    target = directory.upsert(make_target_record(address=(host, 9)))
    target.record_limit(2.0, 'answer', 100.0)
    return RequestLimits(directory, gates, None), target


async def ask(limits, target):
    return await limits.require_permit(CallState(make_call(), make_route(), 'plain', 1), target, may_wait=True)


def list_asked(gates):
    return list(itertools.chain.from_iterable(gate.asked for gate in gates.values()))


async def test_entries_with_the_same_sidecars_ask_the_same_gate():
    asked_hosts = set()
    for hosts in itertools.permutations(HOSTS):
        gates = {host: Gate() for host in hosts}
        limits, target = make_limits(gates)
        assert await ask(limits, target) is None
        assert [message.backup for message in list_asked(gates)] == [False]
        asked_hosts.update(host for host, gate in gates.items() if gate.asked)
    assert len(asked_hosts) == 1


@pytest.mark.parametrize('fault', ['silent', 'draining', 'lost'])
async def test_second_choice_is_asked_as_such_if_the_first_does_not_respond(fault):
    gates = {host: Gate() for host in HOSTS}
    limits, target = make_limits(gates)
    await ask(limits, target)
    first = next(gate for gate in gates.values() if gate.asked)
    if fault == 'lost':
        first.answer = StreamClosedError('lost', step='test', peer='gate')
    else:
        setattr(first, fault, True)
    assert await ask(limits, target) is None
    assert sorted(message.backup for message in list_asked(gates)) == [False, True]


async def test_call_to_an_engine_that_passes_by_its_sidecar_asks_a_second_choice():
    gates = {host: Gate() for host in HOSTS}
    limits, target = make_limits(gates, host=HOSTS[0])
    assert await ask(limits, target) is None
    assert [message.backup for message in list_asked(gates)] == [True]
    assert gates[HOSTS[0]].asked == []


async def test_refused_permit_keeps_the_call_from_the_target_until_its_next_turn():
    limits, target = make_limits({host: Gate(Declined(1, LIMIT_CODE, 700)) for host in HOSTS})
    refused = await ask(limits, target)
    assert (refused.sent, refused.retry_seconds, limits.held_back) == (False, 0.7, 1)
    now = target.permit_due_at - 0.7
    assert not target.takes_request(now, 0.2)
    assert target.takes_request(now + 0.7, 0)


async def test_entry_without_any_gate_sends_a_rare_probe():
    limits, target = make_limits({})
    assert (await ask(limits, target)).sent is False
    assert (await ask(limits, target)).sent is False
    target.probe_due_at = 1e-9
    assert await ask(limits, target) is None
    assert (await ask(limits, target)).sent is False


async def test_entry_that_no_longer_waits_leaves_nothing_at_the_gate_of_another():
    gates = EntryGates()
    asks = [asyncio.create_task(gates.wait_for_answer(AskPermit(1, 'r', 't1', 1, 500, 0, 200, False))) for _ in '12']
    await asyncio.sleep(0)
    asks[0].cancel()
    assert isinstance(await asks[1], Declined)
    assert (gates.waiters, asks[0].cancelled()) == ({}, True)


def test_limit_of_another_incarnation_is_not_taken_over():
    limits, target = make_limits({})
    message = limits.list_messages()[0]
    other = type(message)(message.target, message.started_ms + 1, 9000)
    limits.record_report(other)
    assert target.view.request_seconds == 1 / 2
    limits.record_report(type(message)(message.target, message.started_ms, 0))
    assert target.request_limit is None
    assert limits.list_messages() == []
