"""Requests to targets with limits, at the sizes of the deployments: ``python -m benchmarks.request_limits``.

Compares one gate for each target with an equal share of the limit in each entry. Prints the densest window at a target
as a multiple of what is allowed, the share of the limit that is used, and what the gates cost.
"""

import random
import time

import click

from tamarackfield.gateway.dispatch import MAX_ATTEMPTS
from tamarackfield.policy.request_limits import PermitRequest, RequestGate, RequestPacer
from tamarackfield.wire.codec import encode
from tamarackfield.wire.request_limits import AskPermit, encode_limit

WINDOW_SECONDS = 4.0
SECONDS = 30.0
#: Calls a second over all entries, as a multiple of what the targets take.
DEMAND = 5.0
SIZES = ((27, 1), (27, 22), (68, 1), (68, 39))
LIMITS = (1.2, 4.8)


class Fleet:
    """Targets with one limit, and when each entry may ask for each of them again."""

    def __init__(self, entries: int, targets: int, limit: float, divided: bool) -> None:
        """Create gates of all targets, or of all pairs of an entry and a target."""
        self.divided = divided
        share = limit / entries if divided else limit
        owners = entries if divided else 1
        self.gates = [[RequestGate(RequestPacer(share, 0.0)) for _ in range(targets)] for _ in range(owners)]
        self.due_at = [[0.0 for _ in range(targets)] for _ in range(entries)]
        self.sent_at: list[list[float]] = [[] for _ in range(targets)]
        self.asked = 0

    def call(self, entry: int, now: float, rng: random.Random) -> None:
        """Offer one call to targets until one admits it."""
        due = [target for target, due_at in enumerate(self.due_at[entry]) if due_at <= now]
        rng.shuffle(due)
        for target in due[:MAX_ATTEMPTS]:
            self.asked += 1
            gate = self.gates[entry if self.divided else 0][target]
            gate.ask(PermitRequest(entry, 0, now, now))
            decision = gate.decide(now)[0]
            if decision.granted:
                self.sent_at[target].append(now)
                return
            self.due_at[entry][target] = now + decision.retry_seconds


def count_densest_window(sent_at: list[float]) -> int:
    """Return the largest number of requests within some window."""
    return max((sum(begin <= at < begin + WINDOW_SECONDS for at in sent_at) for begin in sent_at), default=0)


def play(entries: int, targets: int, limit: float, divided: bool) -> str:
    """Return one line on the calls of `SECONDS`."""
    rng = random.Random(f'{entries}-{targets}-{limit}')
    fleet = Fleet(entries, targets, limit, divided)
    calls = int(DEMAND * limit * targets * SECONDS)
    began_at = time.process_time()
    warm_up = entries / limit if divided else 0
    for number in range(calls):
        fleet.call(rng.randrange(entries), warm_up + number * SECONDS / calls, rng)
    processor_us = (time.process_time() - began_at) / max(1, fleet.asked) * 1_000_000
    allowed = 1.5 * limit * WINDOW_SECONDS + 5
    densest = max(count_densest_window(sent_at) for sent_at in fleet.sent_at) / allowed
    used = sum(len(sent_at) for sent_at in fleet.sent_at) / (limit * targets * SECONDS)
    kind = 'shares' if divided else 'gate'
    return (
        f'{kind:6} entries={entries} targets={targets} limit={limit} densest={densest:.2f} used={used:.2f} '
        f'asks_per_call={fleet.asked / calls:.2f} asks_per_second={fleet.asked / SECONDS:.0f} '
        f'us_per_ask={processor_us:.0f}'
    )


@click.command()
def main() -> None:
    """Play every size with a gate and with shares."""
    ask = AskPermit(1, 'a-request-id-1234', 'i-1234567890', 1_790_000_000_000, encode_limit(4.8), 1, 200, False)
    click.echo(f'bytes of a request for a permit: {len(encode(ask))}')
    for entries, targets in SIZES:
        for limit in LIMITS:
            for divided in (False, True):
                click.echo(play(entries, targets, limit, divided))


if __name__ == '__main__':
    main()
