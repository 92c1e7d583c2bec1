"""Seeded open-loop traces of requests, and the minimal number of adapter loads for a trace."""

import bisect
import itertools
import math
import random
from dataclasses import dataclass

from benchmarks.deployments import Deployment

#: Callers of every trace; the first one sends the burst.
CALLERS = ('north', 'south', 'east', 'west', 'river')
#: Ratio of the request rate of the bursting caller to that of another caller.
BURST_FACTOR = 10
#: Share of the requests that goes to the suddenly popular adapter.
CROWD_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace; ``start_seconds`` counts from the start of the run."""

    start_seconds: float
    adapter: str
    caller: str
    tokens: int
    entry: int


def list_adapter_names(deployment: Deployment) -> list[str]:
    """Return the references of all adapters of a deployment."""
    return [f'member-{index}@v1' for index in range(deployment.adapters)]


def make_trace(deployment: Deployment, seed: int, seconds: float, load: str) -> list[Arrival]:
    """Return a random trace.

    Parameters
    ----------
    deployment : Deployment
        Deployment with its sizes, request rate and skew.
    seed : int
        Equal seeds give equal traces.
    seconds : float
        Length of the trace.
    load : str
        ``crowd`` turns a rarely used adapter into a hot one after a third of the run; ``burst`` makes
        one caller send `BURST_FACTOR` times its share from then on; any other load is steady.

    Returns
    -------
    list of Arrival
        Requests ordered by time.
    """
    rng = random.Random(f'{deployment.name} {seed}')
    names = list_adapter_names(deployment)
    rng.shuffle(names)
    cumulative = list(itertools.accumulate(rank**-deployment.skew for rank in range(1, len(names) + 1)))
    trace: list[Arrival] = []
    now = 0.0
    while True:
        now += rng.expovariate(deployment.requests_per_second)
        if now >= seconds:
            return _add_burst(trace, seconds / 3, rng, deployment) if load == 'burst' else trace
        adapter = names[bisect.bisect(cumulative, rng.random() * cumulative[-1])]
        if rng.random() < deployment.hot_share:
            adapter = names[rng.randrange(deployment.hot_adapters)]
        if load == 'crowd' and now > seconds / 3 and rng.random() < CROWD_SHARE:
            adapter = names[-1]
        tokens = rng.randint(deployment.min_tokens, deployment.max_tokens)
        trace.append(Arrival(now, adapter, rng.choice(CALLERS), tokens, rng.randrange(deployment.zones)))


def _add_burst(trace: list[Arrival], start: float, rng: random.Random, deployment: Deployment) -> list[Arrival]:
    copies: list[Arrival] = []
    for arrival in trace:
        if arrival.start_seconds > start and arrival.caller == CALLERS[0]:
            for _ in range(BURST_FACTOR - 1):
                entry = rng.randrange(deployment.zones)
                copies.append(
                    Arrival(
                        arrival.start_seconds + rng.random(), arrival.adapter, arrival.caller, arrival.tokens, entry
                    )
                )
    return sorted((*trace, *copies), key=lambda arrival: arrival.start_seconds)


def count_clairvoyant_loads(adapters: list[str], slots: int) -> int:
    """Count the loads of a cache with Belady's optimal eviction: the entry with the latest next use.

    Parameters
    ----------
    adapters : list of str
        Adapters in the order of the requests.
    slots : int
        Number of adapters resident at once, on all engines together.

    Returns
    -------
    int
        Minimal number of loads; no sequence of loads into these slots needs fewer.

    Examples
    --------
    >>> count_clairvoyant_loads(['a', 'b', 'c', 'a', 'b'], 2)
    4

    References
    ----------
    .. [1] L. A. Belady, "A study of replacement algorithms for a virtual-storage computer", 1966.
    """
    next_use: dict[int, float] = {}
    following_use: dict[str, int] = {}
    for index in range(len(adapters) - 1, -1, -1):
        next_use[index] = following_use.get(adapters[index], math.inf)
        following_use[adapters[index]] = index
    cache: dict[str, float] = {}
    loads = 0
    for index, adapter in enumerate(adapters):
        if adapter not in cache:
            loads += 1
            if len(cache) >= slots:
                cache.pop(max(cache, key=cache.__getitem__))
        cache[adapter] = next_use[index]
    return loads
