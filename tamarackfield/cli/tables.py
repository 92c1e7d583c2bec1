"""Tables and explanations as text for operators."""

import datetime
from typing import Any

from tamarackfield.core.clock import MS_PER_SECOND

_COLUMNS = ('ADDRESS', 'ROLE', 'INSTANCE', 'READY', 'DRAINING', 'BUNDLE', 'BEHIND', 'SINCE', 'FROM', 'WORK')


def align_columns(rows: list[tuple[str, ...]]) -> list[str]:
    """Format rows as lines with aligned columns.

    Examples
    --------
    >>> align_columns([('A', 'BB'), ('long', 'x')])
    ['A     BB', 'long  x']
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ['  '.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
    return [line.rstrip() for line in lines]


def format_status_table(statuses: dict[str, Any]) -> list[str]:
    """Format the states of processes, by their addresses, as a table.

    ``BEHIND`` is the difference to the highest bundle number in the table, ``SINCE`` the time in UTC
    at which the bundle came into force, ``FROM`` the source of the bundle.

    Examples
    --------
    >>> latest = {'role': 'entry', 'instance': 'e', 'bundle': 7, 'bundle_since_unix_ms': 0, 'bundle_source': 'peer'}
    >>> table = format_status_table({'10.0.0.5:9001': {'error': 'refused'}, '10.0.0.6:9001': latest})
    >>> table[1].split()
    ['10.0.0.5:9001', '-', '-', '-', '-', '-', '-', '-', '-', 'unreachable:', 'refused']
    >>> table[2].split()[5:9]
    ['7', '0', '1970-01-01T00:00:00Z', 'peer']
    """
    latest_bundle = max((status.get('bundle', 0) for status in statuses.values()), default=0)
    return align_columns(
        [_COLUMNS, *(_format_status_row(address, status, latest_bundle) for address, status in statuses.items())]
    )


def _format_status_row(address: str, status: dict[str, Any], latest_bundle: int) -> tuple[str, ...]:
    error = status.get('error')
    if error is not None:
        blanks = ('-' for _ in _COLUMNS[2:])
        return (address, *blanks, f'unreachable: {error}')
    fields = (status.get(name, '-') for name in ('role', 'instance', 'ready', 'draining', 'bundle'))
    behind = str(latest_bundle - status['bundle'])
    source = status['bundle_source'] or '-'
    cells = [
        address,
        *(_format_cell(field) for field in fields),
        behind,
        _format_bundle_start(status),
        source,
        _format_load(status),
    ]
    return tuple(cells)


def _format_bundle_start(status: dict[str, Any]) -> str:
    if not status['bundle']:
        return '-'
    started_at = datetime.datetime.fromtimestamp(status['bundle_since_unix_ms'] / MS_PER_SECOND, datetime.UTC)
    return started_at.strftime('%Y-%m-%dT%H:%M:%SZ')


def _format_cell(field: Any) -> str:
    words = {'True': 'yes', 'False': 'no', '': 'no'}
    return words.get(str(field), str(field))


def _format_load(status: dict[str, Any]) -> str:
    targets = status.get('targets')
    if targets is None:
        counts = [f'{name}={status[name]}' for name in ('running', 'queued', 'streams') if name in status]
        return ' '.join([*counts, f'resident={len(status.get("residents", ()))}'])
    unusable = sorted(name for name, target in targets.items() if not target['usable'])
    parts = [f'busy={status["busy"]}', f'targets={len(targets) - len(unusable)}/{len(targets)}']
    if unusable:
        parts.append(f'unusable={",".join(unusable)}')
    return ' '.join(parts)


def format_explanation(answer: dict[str, Any]) -> list[str]:
    """Format the explanation of an entry, one step a line.

    Examples
    --------
    >>> format_explanation({'verdict': 'refused', 'summary': 'no grant', 'steps': [{'step': 'authorize', 'ok': False}]})
    ['refused: no grant', '  authorize  ok=no']
    """
    lines = [f'{answer["verdict"]}: {answer["summary"]}']
    steps = [(f'  {step["step"]}', _format_pairs(step)) for step in answer['steps']]
    if steps:
        lines.extend(align_columns(steps))
    return lines


def _format_pairs(step: dict[str, Any]) -> str:
    return ' '.join(f'{name}={_format_cell(part)}' for name, part in step.items() if name != 'step')
