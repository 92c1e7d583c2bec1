"""Draws the faults of a soak test from its seed."""

import random
from dataclasses import dataclass

#: Number of concurrent series of faults; more than one, so that faults overlap.
SERIES_COUNT = 3
#: Bounds of the time between the starts of two faults of a series.
MIN_GAP_SECONDS, MAX_GAP_SECONDS = 0.1, 1.2
#: Bounds of the duration of a fault.
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.1, 3.0
#: Largest number of repeats of a fault shortly after its first occurrence.
MAX_REPEATS = 3
#: Share of faults that are repeated.
REPEAT_SHARE = 0.25
#: Time without faults at the start of a run.
INITIAL_DELAY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One planned fault.

    Parameters
    ----------
    start_seconds : float
        Seconds from the start of the run to the start of the fault.
    kind : str
        Name of the fault.
    target_share : float
        Relative position, from 0 to 1, of the affected component in the list of possible ones.
    duration_seconds : float
        Duration of the fault.
    variant_share : float
        Relative position, from 0 to 1, of the variant among the variants of the fault; also scales its strength.
    """

    start_seconds: float
    kind: str
    target_share: float
    duration_seconds: float
    variant_share: float


def draw_plan(seed: int, seconds: float, kinds: tuple[str, ...], *further_kinds: tuple[str, ...]) -> list[PlannedFault]:
    """Return the faults of one run.

    Parameters
    ----------
    seed : int
        Equal seeds give equal plans.
    seconds : float
        Length of the period in which faults start.
    kinds : tuple of str
        Names of the faults of the first series.
    *further_kinds : tuple of str
        Names of the faults of each further series; a series without any is left out.

    Returns
    -------
    list of Step
        Faults ordered by their start.

    Examples
    --------
    >>> plan = draw_plan(7, 20.0, ('kill', 'freeze'))
    >>> plan == draw_plan(7, 20.0, ('kill', 'freeze'))
    True
    >>> all(step.start_seconds < 20 for step in plan)
    True
    """
    steps: list[PlannedFault] = []
    series_kinds = [*(kinds for _ in range(SERIES_COUNT)), *further_kinds]
    for series, kinds_of_series in enumerate(series_kinds):
        if not kinds_of_series:
            continue
        rng = random.Random(f'{seed}-{series}')
        at = INITIAL_DELAY_SECONDS + rng.uniform(0, MAX_GAP_SECONDS)
        while at < seconds:
            step = PlannedFault(
                at,
                rng.choice(kinds_of_series),
                rng.random(),
                rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
                rng.random(),
            )
            steps += [step, *_draw_repeats(step, rng, seconds)]
            at += rng.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
    return sorted(steps, key=lambda step: step.start_seconds)


def _draw_repeats(step: PlannedFault, rng: random.Random, seconds: float) -> list[PlannedFault]:
    """Return repeats of a fault on the same component."""
    if rng.random() >= REPEAT_SHARE:
        return []
    times = [
        step.start_seconds + (index + 1) * rng.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
        for index in range(rng.randint(1, MAX_REPEATS))
    ]
    return [
        PlannedFault(at, step.kind, step.target_share, step.duration_seconds, step.variant_share)
        for at in times
        if at < seconds
    ]
