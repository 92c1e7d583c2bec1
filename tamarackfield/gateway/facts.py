"""Message that describes a target and the limits of its engine to its sidecar."""

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.gateway.model import Engine
from tamarackfield.wire.reservations import Facts

#: Share of the load rate of the weight store that all sidecars together may use.
LOAD_SHARE = 0.8
#: Kilobytes in a megabyte.
KB_PER_MB = 1000


def make_facts(name: str, started_ms: int, revision: int, engine: Engine, targets: int) -> Facts:
    """Build the message that describes a target and the limits of its engine to its sidecar.

    Parameters
    ----------
    name : str
        Name of the target.
    started_ms : int
        Start of its current incarnation, in Unix milliseconds.
    revision : int
        Version of the configuration.
    engine : Engine
        Engine in the configuration of its service.
    targets : int
        Number of model targets that share the weight store.

    Returns
    -------
    Facts
        Includes the shortest interval between two loads of base models, so that all targets together
        stay below the load rate that the weight store allows.
    """
    # At least one load in 1000 seconds, so that the interval is finite.
    loads_per_second = max(engine.loads_per_second, 1 / MS_PER_SECOND)
    return Facts(
        revision=revision,
        target=name,
        started_ms=started_ms,
        batch=engine.batch,
        places=engine.adapter_places,
        memory_kb=int(engine.weight_mb * KB_PER_MB),
        models=[model.name for model in engine.models],
        model_kb=[int(model.weight_mb * KB_PER_MB) for model in engine.models],
        adapter_kb=[int(model.adapter_mb * KB_PER_MB) for model in engine.models],
        load_gap_ms=int(MS_PER_SECOND * targets / loads_per_second / LOAD_SHARE),
    )
