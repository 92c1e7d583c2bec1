"""Text for a person on call: aligned tables and explanations."""

import datetime
from typing import Any

from tamarackfield.core.clock import MS_PER_SECOND

_COLUMNS = ('ADDRESS', 'ROLE', 'INSTANCE', 'READY', 'DRAINING', 'BUNDLE', 'BEHIND', 'SINCE', 'FROM', 'WORK')


def align(rows: list[tuple[str, ...]]) -> list[str]:
    """Return rows as lines whose columns stand beneath each other.

    Examples
    --------
    >>> align([('A', 'BB'), ('long', 'x')])
    ['A     BB', 'long  x']
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ['  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    return [line.rstrip() for line in lines]


def status_table(statuses: dict[str, Any]) -> list[str]:
    """Return the table of the states of processes by their addresses.

    ``BEHIND`` counts the numbers to the highest bundle in the table, ``SINCE`` is the time in UTC
    at which the bundle came in force, ``FROM`` who gave it.

    Examples
    --------
    >>> newest = {'role': 'entry', 'instance': 'e', 'bundle': 7, 'bundle_since_unix_ms': 0, 'bundle_source': 'peer'}
    >>> table = status_table({'10.0.0.5:9001': {'error': 'refused'}, '10.0.0.6:9001': newest})
    >>> table[1].split()
    ['10.0.0.5:9001', '-', '-', '-', '-', '-', '-', '-', '-', 'unreachable:', 'refused']
    >>> table[2].split()[5:9]
    ['7', '0', '1970-01-01T00:00:00Z', 'peer']
    """
    newest = max((status.get('bundle', 0) for status in statuses.values()), default=0)
    return align([_COLUMNS, *(_status_row(address, status, newest) for address, status in statuses.items())])


def _status_row(address: str, status: dict[str, Any], newest: int) -> tuple[str, ...]:
    error = status.get('error')
    if error is not None:
        blanks = ('-' for _ in _COLUMNS[2:])
        return (address, *blanks, f'unreachable: {error}')
    fields = (status.get(name, '-') for name in ('role', 'instance', 'ready', 'draining', 'bundle'))
    behind = str(newest - status['bundle'])
    origin = status['bundle_source'] or '-'
    cells = [address, *(_cell(field) for field in fields), behind, _since(status), origin, _work(status)]
    return tuple(cells)


def _since(status: dict[str, Any]) -> str:
    if not status['bundle']:
        return '-'
    moment = datetime.datetime.fromtimestamp(status['bundle_since_unix_ms'] / MS_PER_SECOND, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')


def _cell(field: Any) -> str:
    words = {'True': 'yes', 'False': 'no', '': 'no'}
    return words.get(str(field), str(field))


def _work(status: dict[str, Any]) -> str:
    targets = status.get('targets')
    if targets is None:
        counts = [f'{name}={status[name]}' for name in ('running', 'queued', 'streams') if name in status]
        return ' '.join([*counts, f'resident={len(status.get("residents", ()))}'])
    unusable = sorted(name for name, target in targets.items() if not target['usable'])
    parts = [f'busy={status["busy"]}', f'targets={len(targets) - len(unusable)}/{len(targets)}']
    if unusable:
        parts.append(f'unusable={",".join(unusable)}')
    return ' '.join(parts)


def explanation_lines(answer: dict[str, Any]) -> list[str]:
    """Return an entry's explanation as lines, one step a line.

    Examples
    --------
    >>> explanation_lines({'verdict': 'refused', 'summary': 'no grant', 'steps': [{'step': 'authorize', 'ok': False}]})
    ['refused: no grant', '  authorize  ok=no']
    """
    lines = [f'{answer["verdict"]}: {answer["summary"]}']
    steps = [(f'  {step["step"]}', _pairs(step)) for step in answer['steps']]
    if steps:
        lines.extend(align(steps))
    return lines


def _pairs(step: dict[str, Any]) -> str:
    return ' '.join(f'{name}={_cell(part)}' for name, part in step.items() if name != 'step')
