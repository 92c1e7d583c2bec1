"""A hedge answers in place of a slow run: one whole answer, the loser ended at once and not held against its target."""

import asyncio

import pytest

from tamarackfield.core import BOOT_CLOCK
from tamarackfield.gateway.attempts import AttemptRunner
from tamarackfield.gateway.call_state import CallState
from tamarackfield.gateway.dispatch import Dispatcher
from tamarackfield.gateway.model import AnswerHead
from tamarackfield.gateway.tests.samples import make_call, make_route, make_target_record
from tamarackfield.gateway.tests.test_fleet import make_fleet
from tamarackfield.policy.hedging import DOUBTFUL_FAILURE_RATIO, MAX_SAVED_HEDGES
from tamarackfield.policy.shared_retry_budget import SharedRetryBudget
from tamarackfield.web.answer_budget import AnswerBudget, HeldBody
from tamarackfield.web.framing import BodyFraming

HEDGE_SECONDS = 0.02
TIMEOUT_SECONDS = 5.0


class Pool:
    """Times of targets to the head, and from there to the body, by name, and what was sent to them and closed."""

    def __init__(self, times):
        self.times = times
        self.answers = AnswerBudget()
        self.sent = []
        self.closed = []


class Exchange:
    """Exchange with a target of the self.pool."""

    def __init__(self, pool, dialect, call, target):
        self.pool = pool
        self.call = call
        self.target = target
        self.name = target.record.name
        self.framing = None
        self.connection = None
        self.end_reported = False

    async def send(self, options, max_idle_seconds, authorize, used):
        """Send the call if that is allowed."""
        refusal = authorize()
        self.sent_at = BOOT_CLOCK.monotonic()
        if not refusal:
            self.pool.sent.append(self.name)
        return refusal

    async def read_head(self):
        """Return the head after the time of the target."""
        await asyncio.sleep(self.pool.times[self.name][0])
        self.framing = BodyFraming.LENGTH
        return AnswerHead(200, [], '', not_run=False, genuine=True, event_stream=False)

    async def read_body(self, held):
        """Return the body after the time of the target."""
        await asyncio.sleep(self.pool.times[self.name][1])
        return HeldBody(self.pool.answers, held, [self.name.encode()], len(self.name))

    def close(self):
        """Record the end of the exchange."""
        self.pool.closed.append(self.name)

    def has_connection_ended(self):
        """Return that the target has not closed the connection."""
        return False

    def wrote_seconds(self):
        """Return the time of the body."""
        return 0.0

    def describe_end(self):
        """Return how the answer ended."""
        return ''


class Caller:
    """Response channel that keeps what is sent to the caller."""

    head_only = False

    def __init__(self):
        self.parts = []

    async def send_head(self, status, headers):
        """Keep the head of an answer."""
        self.parts.append(status)

    async def send_body(self, body):
        """Keep a part of the body."""
        self.parts.append(body)

    async def finish(self):
        """Keep the end of the answer."""
        self.parts.append('end')

    def describe_peer(self):
        """Return the address of the caller."""
        return 'caller'

    def cut(self, reason):
        """Keep that the connection was closed."""
        self.parts.append(reason)


class Site:
    """Two targets, one of which is slow, and the dispatcher of an entry that would hedge."""

    def __init__(self, monkeypatch, slow=(60.0, 0.0), fast=(0.0, 0.0), **route):
        self.fleet = make_fleet(
            make_target_record('slow', 'plain', address=('127.0.0.1', 1), batch=4),
            make_target_record('fast', 'plain', address=('127.0.0.1', 2), batch=4),
        )
        self.targets = self.fleet.directory.targets
        self.targets['fast'].view.service_seconds = self.targets['slow'].view.service_seconds * 2
        self.pool = Pool({'slow': slow, 'fast': fast})
        self.route = make_route(**{'repeatable': True, 'max_targets': 2, **route})
        self.retries = SharedRetryBudget(0.2, 80.0, 10.0, entries=1, available=40.0)
        runner = AttemptRunner(self.fleet, self.pool, None, lambda service: self.retries)
        self.hedger = runner.hedger
        self.hedger.share = 0.05
        self.hedger.times[self.route.name].hedge_seconds = HEDGE_SECONDS
        self.hedger.services['plain'].available = MAX_SAVED_HEDGES
        self.dispatcher = Dispatcher(self.fleet, runner, lambda service: self.retries, self.hedger)
        monkeypatch.setattr('tamarackfield.gateway.attempts.Exchange', Exchange)

    async def serve(self):
        """Serve one call; return what its caller got."""
        call = make_call(deadline=BOOT_CLOCK.monotonic() + TIMEOUT_SECONDS)
        caller = Caller()
        await self.dispatcher.serve(CallState(call, self.route, 'plain', 1), caller)
        return caller.parts

    def count(self):
        """Return the numbers of hedges that were sent, that won and that lost."""
        return self.hedger.attempts, self.hedger.won, self.hedger.lost


def allow_choice(site):
    """Let the hedge be expected to answer sooner, as the load of the slow target shows."""
    site.targets['slow'].view.outstanding += 3
    site.targets['fast'].view.service_seconds = site.targets['slow'].view.service_seconds


@pytest.fixture
def slow_first(monkeypatch):
    """Return a function that builds a site whose first choice is slow."""

    def build(**changes):
        site = Site(monkeypatch, **changes)
        choose = site.fleet.choose_target
        first = []

        def choose_slow_first(placement, allowed):
            if first:
                return choose(placement, allowed)
            first.append(True)
            allow_choice(site)
            return site.targets['slow']

        site.fleet.choose_target = choose_slow_first
        return site

    return build


@pytest.mark.parametrize('slow', [(60.0, 0.0), (HEDGE_SECONDS * 4, 60.0)])
async def test_hedge_of_a_late_answer_wins_and_the_slow_target_is_not_blamed(slow_first, slow):
    # Load: one target of two pauses before its head, or after it.
    site = slow_first(slow=slow, fast=(HEDGE_SECONDS * 8, 0.0))
    assert await site.serve() == [200, b'fast', 'end']
    assert site.pool.sent == ['slow', 'fast']
    assert site.count() == (1, 1, 0)
    assert site.targets['slow'].health.failure_ratio == 0
    assert sorted(site.pool.closed) == ['fast', 'slow']


async def test_hedge_that_answers_later_is_ended_and_not_held_against_its_target(slow_first):
    # Load: the first target answers soon after the hedge was sent, which would take a minute.
    site = slow_first(slow=(HEDGE_SECONDS * 4, 0.0), fast=(60.0, 0.0))
    assert await site.serve() == [200, b'slow', 'end']
    assert site.count() == (1, 0, 1)
    assert site.targets['fast'].health.failure_ratio == 0
    assert site.targets['fast'].view.outstanding == 0


def turn_off(site):
    """Turn hedges off."""
    site.hedger.share = 0.0


def forbid_repeats(site):
    """Make the route one whose requests may not run again."""
    site.route = make_route(repeatable=False, max_targets=2)


def limit_targets(site):
    """Let a request reach one target only."""
    site.route = make_route(repeatable=True, max_targets=1)


def use_up(site):
    """Leave no hedge."""
    site.hedger.services['plain'].available = 0.5


def fail_once(site):
    """Let a target have refused something lately."""
    site.hedger.services['plain'].record_shortage(BOOT_CLOCK.monotonic())


def doubt_health(site):
    """Let the other target have failed lately."""
    site.targets['fast'].health.failure_ratio = DOUBTFUL_FAILURE_RATIO


def fill(site):
    """Let all places of the other target be taken."""
    site.targets['fast'].view.outstanding = 4


def spend_retries(site):
    """Let failures have used a part of the retry budget."""
    site.retries.available = 20.0
    site.retries.refilled_at = BOOT_CLOCK.monotonic()


@pytest.mark.parametrize(
    'change', [turn_off, forbid_repeats, limit_targets, use_up, fail_once, doubt_health, fill, spend_retries]
)
async def test_slow_answer_is_not_hedged_where_that_is_not_allowed(slow_first, change):
    # Load: an answer that takes ten times as long as nearly all others.
    site = slow_first(slow=(HEDGE_SECONDS * 10, 0.0))
    change(site)
    assert await site.serve() == [200, b'slow', 'end']
    assert (site.pool.sent, site.count()) == (['slow'], (0, 0, 0))


async def test_calls_that_are_late_together_send_no_more_hedges_than_are_left(slow_first):
    # Load: five calls wait for the same slow target when one hedge is left.
    site = slow_first(slow=(HEDGE_SECONDS * 10, 0.0))
    choose = site.fleet.choose_target
    site.hedger.services['plain'].available = 1.0
    site.fleet.choose_target = lambda placement, allowed: (
        choose(placement, allowed) and next((target for target in site.targets.values() if allowed(target)), None)
    )
    allow_choice(site)
    await asyncio.gather(*(site.serve() for _ in range(5)))
    assert site.hedger.attempts == 1
