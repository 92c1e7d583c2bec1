"""Draws the faults of a soak from its seed."""

import random
from dataclasses import dataclass

#: Series of faults that run side by side, so that faults overlap.
SERIES = 3
#: Shortest and longest pause in seconds between two faults of a series.
MIN_GAP, MAX_GAP = 0.1, 1.2
#: Shortest and longest duration of a fault in seconds.
MIN_SECONDS, MAX_SECONDS = 0.1, 3.0
#: Most times that a fault strikes again shortly afterwards.
MOST_REPEATS = 3
#: Share of faults that strike again.
REPEAT_SHARE = 0.25
#: Seconds before the first fault.
QUIET_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class Step:
    """One fault.

    Parameters
    ----------
    at : float
        Seconds from the start.
    kind : str
        Name of the fault.
    where : float
        Which of its possible places it strikes, as a share of them.
    seconds : float
        How long it lasts.
    variant : float
        Which of its variants it is, as a share of them.
    """

    at: float
    kind: str
    where: float
    seconds: float
    variant: float


def draw_plan(seed: int, seconds: float, kinds: tuple[str, ...]) -> list[Step]:
    """Draw the faults of one run.

    Parameters
    ----------
    seed : int
        Equal seeds give equal plans.
    seconds : float
        Time in which faults begin.
    kinds : tuple of str
        Faults to draw from.

    Returns
    -------
    list of Step
        In the order of their times.

    Examples
    --------
    >>> plan = draw_plan(7, 20.0, ('kill', 'freeze'))
    >>> plan == draw_plan(7, 20.0, ('kill', 'freeze'))
    True
    >>> all(step.at < 20 for step in plan)
    True
    """
    steps: list[Step] = []
    for series in range(SERIES):
        rng = random.Random(f'{seed}-{series}')
        at = QUIET_SECONDS + rng.uniform(0, MAX_GAP)
        while at < seconds:
            step = Step(at, rng.choice(kinds), rng.random(), rng.uniform(MIN_SECONDS, MAX_SECONDS), rng.random())
            steps += [step, *_repeat(step, rng, seconds)]
            at += rng.uniform(MIN_GAP, MAX_GAP)
    return sorted(steps, key=lambda step: step.at)


def _repeat(step: Step, rng: random.Random, seconds: float) -> list[Step]:
    """Return further strikes of a fault at the same place."""
    if rng.random() >= REPEAT_SHARE:
        return []
    times = [step.at + (index + 1) * rng.uniform(MIN_GAP, MAX_GAP) for index in range(rng.randint(1, MOST_REPEATS))]
    return [Step(at, step.kind, step.where, step.seconds, step.variant) for at in times if at < seconds]
