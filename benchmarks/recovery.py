"""Computes the time until requests are answered again after the loss of all machines, from entry logs.

The lines of the logs may be in any order and may have any prefix before their fields. The loss is the time of
the last answered request before the first restart of an entry.
"""

import bisect
import datetime
import json
import re
import sys
from collections.abc import Iterable

import click

#: Period before the loss that gives the former rate, and window in which the new rate is computed.
BASELINE_SECONDS = 4.0
WINDOW_SECONDS = 0.5
#: Shares of the former rate whose recovery times are computed.
RATE_SHARES = (0.25, 0.9)
_STEP_SECONDS = 0.05
_MAX_RECOVERY_SECONDS = 12.0
_ANSWERED_PATTERN = re.compile(r'time=(\S+) level=info event=request .*ending=answered')
_STARTED_PATTERN = re.compile(r'time=(\S+) level=info event=started instance=(\S+)')


def read_answers_and_restart(lines: Iterable[str]) -> tuple[list[float], float | None]:
    """Return the sorted times of answered requests and the time of the first entry restart, in Unix seconds."""
    answers: list[float] = []
    starts: dict[str, list[float]] = {}
    for line in lines:
        answered, started = _ANSWERED_PATTERN.search(line), _STARTED_PATTERN.search(line)
        if answered:
            answers.append(_parse_time(answered.group(1)))
        elif started:
            starts.setdefault(started.group(2), []).append(_parse_time(started.group(1)))
    restarts = [sorted(times)[1] for times in starts.values() if len(times) > 1]
    return sorted(answers), min(restarts, default=None)


def find_loss(answers: list[float], started_at: float) -> tuple[float, float]:
    """Return the times of the last answer before a start and of the first one after it.

    Examples
    --------
    >>> find_loss([1.0, 1.1, 1.2, 3.0, 3.1], 2.5)
    (1.2, 3.0)
    """
    index = bisect.bisect_right(answers, started_at)
    return answers[index - 1], answers[index]


def measure_recovery_seconds(answers: list[float], lost_at: float, share: float) -> float | None:
    """Return the seconds from the loss until the rate reaches a share of the former one, None if it never does.

    Examples
    --------
    >>> before = [number / 10 for number in range(41)]
    >>> after = [6.0 + number / 10 for number in range(80)]
    >>> measure_recovery_seconds([*before, *after], 4.0, 0.9)
    2.4
    """
    former_rate = _count_answers(answers, lost_at - BASELINE_SECONDS, lost_at) / BASELINE_SECONDS
    for step in range(1, round(_MAX_RECOVERY_SECONDS / _STEP_SECONDS)):
        ends_at = lost_at + step * _STEP_SECONDS
        begins_at = max(lost_at, ends_at - WINDOW_SECONDS)
        if _count_answers(answers, begins_at, ends_at) >= share * former_rate * WINDOW_SECONDS:
            return round(ends_at - lost_at, 2)
    return None


def _parse_time(text: str) -> float:
    return datetime.datetime.fromisoformat(text).timestamp()


def _count_answers(answers: list[float], begins_at: float, ends_at: float) -> int:
    """Count the answers after ``begins_at`` and up to ``ends_at``."""
    return bisect.bisect_right(answers, ends_at) - bisect.bisect_right(answers, begins_at)


@click.command()
@click.argument('logs', nargs=-1, type=click.File('r', errors='replace'))
def main(logs: tuple[Iterable[str], ...]) -> None:
    """Print, for each log, the seconds without answers and the recovery times, as JSON."""
    for log in logs:
        answers, started_at = read_answers_and_restart(log)
        if not answers or started_at is None:
            sys.stderr.write('log shows no answered request or no restart of an entry\n')
            continue
        lost_at, first_at = find_loss(answers, started_at)
        shares = {f'to_{share}': measure_recovery_seconds(answers, lost_at, share) for share in RATE_SHARES}
        click.echo(json.dumps({'silent': round(first_at - lost_at, 2), **shares}))


if __name__ == '__main__':
    main()
