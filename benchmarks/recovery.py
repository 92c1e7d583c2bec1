"""Time until requests are answered again after every machine was lost, from the logs of a day.

Reads logs of entries, in any order and with anything before the fields of a line. The loss is the
last answered request before an entry starts for the second time.
"""

import bisect
import datetime
import json
import re
import sys
from collections.abc import Iterable

import click

#: Seconds before the loss whose rate is the former one, and of the window in which the new one is counted.
BEFORE_SECONDS = 4.0
WINDOW_SECONDS = 0.5
#: Shares of the former rate that are waited for.
SHARES = (0.25, 0.9)
_STEP_SECONDS = 0.05
_LATEST_SECONDS = 12.0
_ANSWERED = re.compile(r'time=(\S+) level=info event=request .*ending=answered')
_STARTED = re.compile(r'time=(\S+) level=info event=started instance=(\S+)')


def read_times(lines: Iterable[str]) -> tuple[list[float], float | None]:
    """Return when requests were answered, in order, and when an entry first started anew, in Unix seconds."""
    answers: list[float] = []
    starts: dict[str, list[float]] = {}
    for line in lines:
        answered, started = _ANSWERED.search(line), _STARTED.search(line)
        if answered:
            answers.append(_read_time(answered.group(1)))
        elif started:
            starts.setdefault(started.group(2), []).append(_read_time(started.group(1)))
    again = [sorted(times)[1] for times in starts.values() if len(times) > 1]
    return sorted(answers), min(again, default=None)


def find_loss(answers: list[float], started_at: float) -> tuple[float, float]:
    """Return the last answer before a start and the first one after it.

    Examples
    --------
    >>> find_loss([1.0, 1.1, 1.2, 3.0, 3.1], 2.5)
    (1.2, 3.0)
    """
    index = bisect.bisect_right(answers, started_at)
    return answers[index - 1], answers[index]


def seconds_to_share(answers: list[float], lost_at: float, share: float) -> float | None:
    """Return the seconds from the loss until the rate is back to a share of the former one, None if it never is.

    Examples
    --------
    >>> before = [number / 10 for number in range(41)]
    >>> after = [6.0 + number / 10 for number in range(80)]
    >>> seconds_to_share([*before, *after], 4.0, 0.9)
    2.4
    """
    former = _count(answers, lost_at - BEFORE_SECONDS, lost_at) / BEFORE_SECONDS
    for step in range(1, round(_LATEST_SECONDS / _STEP_SECONDS)):
        ends_at = lost_at + step * _STEP_SECONDS
        begins_at = max(lost_at, ends_at - WINDOW_SECONDS)
        if _count(answers, begins_at, ends_at) >= share * former * WINDOW_SECONDS:
            return round(ends_at - lost_at, 2)
    return None


def _read_time(text: str) -> float:
    return datetime.datetime.fromisoformat(text).timestamp()


def _count(answers: list[float], begins_at: float, ends_at: float) -> int:
    """Count the answers after one time and up to another."""
    return bisect.bisect_right(answers, ends_at) - bisect.bisect_right(answers, begins_at)


@click.command()
@click.argument('logs', nargs=-1, type=click.File('r', errors='replace'))
def main(logs: tuple[Iterable[str], ...]) -> None:
    """Print, for each log, how long everything was silent and when it was served again, as JSON."""
    for log in logs:
        answers, started_at = read_times(log)
        if not answers or started_at is None:
            sys.stderr.write('a log shows no answered request, or no entry that started anew\n')
            continue
        lost_at, first_at = find_loss(answers, started_at)
        shares = {f'to_{share}': seconds_to_share(answers, lost_at, share) for share in SHARES}
        click.echo(json.dumps({'silent': round(first_at - lost_at, 2), **shares}))


if __name__ == '__main__':
    main()
