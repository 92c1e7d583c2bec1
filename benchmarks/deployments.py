"""Deployments that the benchmarks measure, with the sizes given on the operators' pages."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment and its steady traffic.

    Parameters
    ----------
    name : str
        Name, as passed to ``bin/bench --deployment``.
    zones : int
        Number of availability zones; each has one entry.
    speeds : tuple of float
        Relative speed of each engine.
    slots, batch : int
        Adapter slots and largest batch of each engine.
    step_ms, sequence_ms : float
        Duration of one engine step at speed 1, and additional duration for each sequence in it.
    adapters : int
        Number of adapters in the bundle.
    skew : float
        Exponent of the Zipf distribution of requests over adapters.
    hot_adapters : int
        Number of hot adapters.
    hot_share : float
        Share of the requests that goes to the hot adapters.
    requests_per_second : float
        Mean request rate of the steady traffic.
    min_tokens, max_tokens : int
        Bounds of the number of tokens of an answer.
    weight_store : dict
        Settings of the weight store stand-in.
    """

    name: str
    zones: int
    speeds: tuple[float, ...]
    slots: int
    batch: int
    step_ms: float
    sequence_ms: float
    adapters: int
    skew: float
    hot_adapters: int
    hot_share: float
    requests_per_second: float
    min_tokens: int
    max_tokens: int
    weight_store: dict[str, float]

    @property
    def capacity(self) -> float:
        """Requests per second that all engines serve with full batches."""
        tokens = (self.min_tokens + self.max_tokens) / 2
        step_seconds = (self.step_ms + self.sequence_ms * self.batch) / 1000
        return sum(self.speeds) * self.batch / (tokens * step_seconds)

    def scale_to_capacity_share(self, share: float) -> 'Deployment':
        """Return a copy of the deployment whose request rate is a share of its capacity."""
        return replace(self, requests_per_second=self.capacity * share)


PRAIRIE_LOOM = Deployment(
    name='prairie-loom',
    zones=4,
    speeds=(1.6, 1.3, 1.0, 1.0, 0.7, 0.4),
    slots=8,
    batch=8,
    step_ms=40,
    sequence_ms=0.5,
    adapters=3000,
    skew=1.4,
    hot_adapters=0,
    hot_share=0,
    requests_per_second=12,
    min_tokens=10,
    max_tokens=40,
    weight_store={'loads_per_second': 4, 'burst': 2, 'in_transit_limit': 16, 'load_seconds': 0.25},
)
NYABUGOGO = Deployment(
    name='nyabugogo',
    zones=3,
    speeds=(1.5, 1.2, 1.0, 0.8, 0.5),
    slots=6,
    batch=8,
    step_ms=40,
    sequence_ms=0.5,
    adapters=3000,
    skew=1.2,
    hot_adapters=4,
    hot_share=0.8,
    requests_per_second=20,
    min_tokens=10,
    max_tokens=40,
    weight_store={'loads_per_second': 3, 'burst': 1, 'in_transit_limit': 8, 'load_seconds': 0.25},
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (PRAIRIE_LOOM, NYABUGOGO)}
