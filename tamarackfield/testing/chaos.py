"""Seeded chaos run: random faults in a complete deployment under load, and checks of all answers and run counts."""

import asyncio
import collections
import pathlib
import random
import sys
import tempfile
from dataclasses import dataclass, field

import click

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.calls import Answer, is_correct_answer, request_completion, retry_completion
from tamarackfield.testing.cluster import Cluster, TargetSpec, make_bundle
from tamarackfield.testing.faults import FAULTS
from tamarackfield.testing.incidents import Incident, format_violation
from tamarackfield.testing.outcome_checker import OutcomeChecker
from tamarackfield.testing.processes import HOST
from tamarackfield.testing.scripts import script_processes
from tamarackfield.web import ClientError, fetch_json

ADAPTERS = ('draft@v1', 'draft@v2', 'summary@v1', 'summary@v2', 'notes@v1')
#: Number of concurrent callers that request completions, and that make bookings.
COMPLETION_CALLERS = 6
BOOKING_CALLERS = 2
#: Number of concurrent fault injectors, so that faults overlap.
FAULT_INJECTORS = 2
#: Longest deadline of a completion.
MAX_DEADLINE_SECONDS = 6.0
#: Faults that ended up to this time before a violating call are listed in its report.
REPORTED_FAULT_SECONDS = 5.0
_OK = 200


@dataclass(slots=True)
class ChaosRun:
    """State and results of one chaos run; times are in monotonic seconds."""

    cluster: Cluster
    ends_at: float
    checker: OutcomeChecker
    incidents: list[Incident] = field(default_factory=list)
    outcomes: collections.Counter[str] = field(default_factory=collections.Counter)
    violations: list[str] = field(default_factory=list)

    @property
    def is_over(self) -> bool:
        """Whether the run time has elapsed."""
        return SYSTEM_CLOCK.monotonic() >= self.ends_at

    def record_violation(self, description: str, started_at: float) -> None:
        """Record a violation with the faults active since shortly before the call."""
        self.violations.append(format_violation(description, self.incidents, started_at - REPORTED_FAULT_SECONDS))


async def run_chaos(directory: pathlib.Path, seed: int, seconds: float) -> ChaosRun:
    """Run a deployment under random faults and load.

    Parameters
    ----------
    directory : pathlib.Path
        Directory of the settings and log files.
    seed : int
        Seed of the random faults and calls.
    seconds : float
        Duration of the fault injection.

    Returns
    -------
    ChaosRun
        Results; ``violations`` is empty if every promise was kept.
    """
    specs = [
        TargetSpec('engine-1', proxied=True, engine_proxied=True, options={'slots': 2, 'step_ms': 4}),
        TargetSpec('engine-2', proxied=True, engine_proxied=True, options={'slots': 2, 'step_ms': 4, 'fencing': False}),
        TargetSpec('booking-1', kind='service', proxied=True),
    ]
    cluster = Cluster(directory, specs, entries=2, bundle=make_bundle(('clinic',), ADAPTERS))
    async with cluster:
        ends_at = SYSTEM_CLOCK.monotonic() + seconds
        run = ChaosRun(cluster, ends_at, OutcomeChecker(cluster))
        callers = [_request_completions(run, random.Random(f'{seed}-{index}')) for index in range(COMPLETION_CALLERS)]
        callers += [_make_bookings(run, index, random.Random(f'{seed}-b{index}')) for index in range(BOOKING_CALLERS)]
        injectors = [_inject_faults(run, random.Random(f'{seed}-f{index}')) for index in range(FAULT_INJECTORS)]
        await asyncio.gather(*injectors, *callers)
        await _check_after_faults(run)
    return run


async def _inject_faults(run: ChaosRun, rng: random.Random) -> None:
    """Inject faults one after another until the run is over; concurrent injectors make faults overlap."""
    while not run.is_over:
        await _inject_fault(run, rng)
        await asyncio.sleep(rng.uniform(0.05, 0.3))


async def _inject_fault(run: ChaosRun, rng: random.Random) -> None:
    name = rng.choice(sorted(FAULTS))
    incident = Incident(name, SYSTEM_CLOCK.monotonic())
    run.incidents.append(incident)
    await FAULTS[name](run.cluster, rng, incident, run.checker)
    incident.ended_at = SYSTEM_CLOCK.monotonic()


async def _request_completions(run: ChaosRun, rng: random.Random) -> None:
    while not run.is_over:
        started_at = SYSTEM_CLOCK.monotonic()
        model = rng.choice(ADAPTERS)
        tokens = rng.randint(1, 120)
        prompt = str(rng.random())
        port = run.cluster.ports[rng.choice(run.cluster.entry_names)]
        answer = await request_completion(
            port,
            model,
            tokens,
            stream=rng.choice((True, False)),
            seconds=rng.uniform(0.5, MAX_DEADLINE_SECONDS),
            prompt=prompt,
        )
        run.outcomes[_classify_outcome(answer)] += 1
        if not is_correct_answer(answer, model, tokens):
            run.record_violation(f'{model}, {tokens} tokens: {answer}', started_at)
        if answer.outcome == 'not_run':
            run.checker.refused_as_not_run[prompt] = f'{model}: {answer.error}'
        await asyncio.sleep(rng.uniform(0, 0.05))


def _classify_outcome(answer: Answer) -> str:
    return 'whole' if answer.is_complete else answer.outcome or 'broken'


async def _make_bookings(run: ChaosRun, index: int, rng: random.Random) -> None:
    number = 0
    while not run.is_over:
        number += 1
        key = f'booking-{index}-{number}'
        entries = rng.sample(run.cluster.entry_names, 2)
        await asyncio.gather(*(_make_booking(run, key, entry) for entry in entries[: rng.choice((1, 2))]))
        await asyncio.sleep(rng.uniform(0, 0.1))


async def _make_booking(run: ChaosRun, key: str, entry: str) -> None:
    headers = [('Authorization', 'Bearer key-clinic'), ('Idempotency-Key', key)]
    address = (HOST, run.cluster.ports[entry])
    try:
        status, document = await fetch_json(address, 'POST', '/services/booking/bookings', {}, headers)
    except ClientError:
        outcome = 'broken'
    else:
        outcome = 'whole' if status == _OK else document.get('error', {}).get('outcome', 'unknown')
    run.outcomes[f'booking {outcome}'] += 1
    run.checker.bookings[key].append(outcome)


async def _check_after_faults(run: ChaosRun) -> None:
    started_at = SYSTEM_CLOCK.monotonic()
    for entry in run.cluster.entry_names:
        for model in ADAPTERS:
            answer = await retry_completion(run.cluster.ports[entry], model)
            if not answer.is_complete:
                run.record_violation(f'{entry} does not serve {model} after all faults ended: {answer}', started_at)
    for violation in await run.checker.find_violations():
        run.record_violation(violation, run.ends_at)


@click.command()
@click.option('--seed', default=1, show_default=True, help='First seed.')
@click.option('--seeds', default=1, show_default=True, help='How many seeds, one after another.')
@click.option('--seconds', default=10.0, show_default=True, help='How long faults are injected for each.')
def main(seed: int, seeds: int, seconds: float) -> None:
    """Inject random faults into a whole deployment under load and check every promise."""
    failed = 0
    for current in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix='tamarackfield-chaos-') as directory, script_processes():
            run = asyncio.run(run_chaos(pathlib.Path(directory), current, seconds))
        failed += bool(run.violations)
        verdict = 'FAILED' if run.violations else 'held'
        click.echo(f'seed={current} seconds={seconds} {verdict} faults={len(run.incidents)} {dict(run.outcomes)}')
        for violation in run.violations:
            click.echo(f'seed={current} {violation}')
    sys.exit(failed > 0)


if __name__ == '__main__':
    main()
