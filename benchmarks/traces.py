"""Seeded open-loop traces of requests, and the least number of loads that a trace needs."""

import bisect
import itertools
import math
import random
from dataclasses import dataclass

from benchmarks.deployments import Deployment

#: Callers of every trace; the first is the one that bursts.
CALLERS = ('north', 'south', 'east', 'west', 'river')
#: Requests that the bursting caller sends for each of another caller.
BURST_FACTOR = 10
#: Share of the requests that go to the adapter of a sudden crowd.
CROWD_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace; ``at`` counts seconds from the start of the run."""

    at: float
    adapter: str
    caller: str
    tokens: int
    entry: int


def adapter_names(deployment: Deployment) -> list[str]:
    """Return every adapter reference of a deployment."""
    return [f'member-{index}@v1' for index in range(deployment.adapters)]


def make_trace(deployment: Deployment, seed: int, seconds: float, load: str) -> list[Arrival]:
    """Draw a trace.

    Parameters
    ----------
    deployment : Deployment
        Sizes, rate and skew.
    seed : int
        Equal seeds give equal traces.
    seconds : float
        Length.
    load : str
        ``crowd`` turns a quiet adapter into a hot one at a third of the run; ``burst`` lets one
        caller send ten times its share from then on; any other is steady.

    Returns
    -------
    list of Arrival
        In the order of their times.
    """
    rng = random.Random(f'{deployment.name} {seed}')
    names = adapter_names(deployment)
    rng.shuffle(names)
    cumulative = list(itertools.accumulate(rank**-deployment.skew for rank in range(1, len(names) + 1)))
    trace: list[Arrival] = []
    now = 0.0
    while True:
        now += rng.expovariate(deployment.rate)
        if now >= seconds:
            return _with_burst(trace, seconds / 3, rng, deployment) if load == 'burst' else trace
        adapter = names[bisect.bisect(cumulative, rng.random() * cumulative[-1])]
        if rng.random() < deployment.hot_share:
            adapter = names[rng.randrange(deployment.hot_adapters)]
        if load == 'crowd' and now > seconds / 3 and rng.random() < CROWD_SHARE:
            adapter = names[-1]
        tokens = rng.randint(deployment.shortest, deployment.longest)
        trace.append(Arrival(now, adapter, rng.choice(CALLERS), tokens, rng.randrange(deployment.zones)))


def _with_burst(trace: list[Arrival], start: float, rng: random.Random, deployment: Deployment) -> list[Arrival]:
    copies: list[Arrival] = []
    for arrival in trace:
        if arrival.at > start and arrival.caller == CALLERS[0]:
            for _ in range(BURST_FACTOR - 1):
                entry = rng.randrange(deployment.zones)
                copies.append(
                    Arrival(arrival.at + rng.random(), arrival.adapter, arrival.caller, arrival.tokens, entry)
                )
    return sorted((*trace, *copies), key=lambda arrival: arrival.at)


def clairvoyant_loads(adapters: list[str], slots: int) -> int:
    """Count the loads of a cache that knows the future and always evicts what is used last.

    Parameters
    ----------
    adapters : list of str
        In the order of the requests.
    slots : int
        Adapters held at once, by all engines together.

    Returns
    -------
    int
        No order of loads on these slots needs fewer.

    Examples
    --------
    >>> clairvoyant_loads(['a', 'b', 'c', 'a', 'b'], 2)
    4

    References
    ----------
    .. [1] L. A. Belady, "A study of replacement algorithms for a virtual-storage computer", 1966.
    """
    next_use: dict[int, float] = {}
    seen: dict[str, int] = {}
    for index in range(len(adapters) - 1, -1, -1):
        next_use[index] = seen.get(adapters[index], math.inf)
        seen[adapters[index]] = index
    held: dict[str, float] = {}
    loads = 0
    for index, adapter in enumerate(adapters):
        if adapter not in held:
            loads += 1
            if len(held) >= slots:
                held.pop(max(held, key=held.__getitem__))
        held[adapter] = next_use[index]
    return loads
