"""Text for a person on call: aligned tables and explanations."""

from typing import Any

_COLUMNS = ('ADDRESS', 'ROLE', 'INSTANCE', 'READY', 'DRAINING', 'BUNDLE', 'WORK')


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

    Examples
    --------
    >>> status_table({'10.0.0.5:9001': {'error': 'connect: refused'}})[1]
    '10.0.0.5:9001  -     -         -      -         -       unreachable: connect: refused'
    """
    return align([_COLUMNS, *(_status_row(address, status) for address, status in statuses.items())])


def _status_row(address: str, status: dict[str, Any]) -> tuple[str, ...]:
    error = status.get('error')
    if error is not None:
        blanks = ('-' for _ in _COLUMNS[2:])
        return (address, *blanks, f'unreachable: {error}')
    fields = (status.get(name, '-') for name in ('role', 'instance', 'ready', 'draining', 'bundle'))
    return (address, *(_cell(field) for field in fields), _work(status))


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
