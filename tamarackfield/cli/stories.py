"""The story of one request, from the logs of any number of processes."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_ID = 'request_id'
#: Events that change what a process believes; the last of each kind before a request is part of its story.
BELIEFS = frozenset(
    (
        'configuration_in_force',
        'store_lost',
        'store_regained',
        'items_of_peer',
        'settings_reloaded',
        'resumed_after_suspension',
        'draining',
        'started',
    )
)
#: The same for one target, or for the sidecar beside it.
TARGET_BELIEFS = frozenset(
    (
        'target_listed',
        'target_leaving',
        'target_vanished',
        'target_left_out',
        'target_gone',
        'address_has_another_target',
    )
)


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log; ``pairs`` in their order."""

    time: str
    instance: str
    event: str
    pairs: tuple[tuple[str, str], ...]

    def get(self, key: str) -> str:
        """Return the value of a key, empty if the line has none."""
        return dict(self.pairs).get(key, '')

    def tell(self) -> str:
        """Return the line for a reader: when, who, what, and the inputs."""
        hidden = {'time', 'level', 'event', 'instance', _ID}
        told = ' '.join(f'{key}={value}' for key, value in self.pairs if key not in hidden and value)
        return f'{self.time}  {self.instance}  {self.event}  {told}'.rstrip()


def parse_line(text: str) -> Line | None:
    """Read one line, None if it is of no event.

    Examples
    --------
    >>> parse_line('time=2026-01-01T00:00:00 level=info event=request instance=e1 notes="a b"').get('notes')
    'a b'
    >>> parse_line('something else') is None
    True
    """
    pairs = tuple((key, _unquote(value)) for key, value in _PAIR.findall(text))
    known = dict(pairs)
    if 'time' not in known or 'event' not in known:
        return None
    return Line(known['time'], known.get('instance', ''), known['event'], pairs)


def tell_story(lines: Iterable[str], request_id: str) -> list[str]:
    """Return what became of a request, in order, with what its processes believed before.

    Parameters
    ----------
    lines : iterable of str
        Of one or more logs, in any order.
    request_id : str
        Of the request.

    Returns
    -------
    list of str
        Empty if no line names the request.
    """
    parsed = sorted((line for line in map(parse_line, lines) if line is not None), key=_by_time)
    own = [line for line in parsed if line.get(_ID) == request_id]
    if not own:
        return []
    before = [line for line in parsed if line.time <= own[-1].time]
    targets = {line.get('target') for line in own} - {''}
    beliefs = _last_beliefs(before, {line.instance for line in own}, targets)
    return [
        f'request {request_id}: what its processes believed',
        *(line.tell() for line in sorted(beliefs, key=_by_time)),
        'what became of it',
        *(line.tell() for line in own),
    ]


def _last_beliefs(lines: list[Line], instances: set[str], targets: set[str]) -> list[Line]:
    last: dict[tuple[str, str, str], Line] = {}
    for line in lines:
        target = line.get('target')
        concerns = line.event in BELIEFS or (line.event in TARGET_BELIEFS and target in targets)
        if line.instance in instances and concerns:
            last[(line.instance, line.event, target)] = line
    return list(last.values())


def _by_time(line: Line) -> str:
    return line.time


def _unquote(value: str) -> str:
    return json.loads(value) if value.startswith('"') else value
