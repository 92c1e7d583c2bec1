"""The deployments that are measured, at the sizes of the operators' pages."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment and its ordinary traffic.

    Parameters
    ----------
    name : str
        As given to ``bin/bench``.
    zones : int
        Availability zones; one entry stands in each.
    speeds : tuple of float
        Relative speed of each engine.
    slots, batch : int
        Of each engine.
    step_ms, sequence_ms : float
        Time of one engine step at speed 1, and what each sequence in it adds.
    adapters : int
        Adapters in the bundle.
    skew : float
        Exponent of the Zipf distribution of requests over adapters.
    hot_adapters, hot_share
        A crowd: this share of the requests goes to so many adapters.
    rate : float
        Requests per second at a load of 1.
    shortest, longest : int
        Tokens of an answer.
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
    rate: float
    shortest: int
    longest: int
    weight_store: dict[str, float]

    @property
    def capacity(self) -> float:
        """Requests per second that full batches on all engines serve."""
        tokens = (self.shortest + self.longest) / 2
        step_seconds = (self.step_ms + self.sequence_ms * self.batch) / 1000
        return sum(self.speeds) * self.batch / (tokens * step_seconds)

    def at_share_of_capacity(self, share: float) -> 'Deployment':
        """Return the same deployment with a request rate that is a share of its capacity."""
        return replace(self, rate=self.capacity * share)


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
    rate=12,
    shortest=10,
    longest=40,
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
    rate=20,
    shortest=10,
    longest=40,
    weight_store={'loads_per_second': 3, 'burst': 1, 'in_transit_limit': 8, 'load_seconds': 0.25},
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (PRAIRIE_LOOM, NYABUGOGO)}
