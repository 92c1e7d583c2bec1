"""Timeline of one request, reconstructed from the logs of any number of processes."""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_REQUEST_ID_KEY = 'request_id'
#: Events that change the state of a process; the timeline of a request begins with the last line of each.
PROCESS_STATE_EVENTS = frozenset(
    (
        'configuration_in_force',
        'store_lost',
        'store_regained',
        'store_news_late',
        'items_of_peer',
        'store_era_changed',
        'beliefs_of_peer',
        'crash_evidence',
        'settings_reloaded',
        'resumed_after_suspension',
        'draining',
        'started',
    )
)
#: Events that change the state of one target or its sidecar; only those of targets of the request are shown.
TARGET_STATE_EVENTS = frozenset(
    (
        'target_listed',
        'target_leaving',
        'target_vanished',
        'target_left_out',
        'target_limit',
        'target_paused',
        'target_gone',
        'address_has_another_target',
    )
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed line of a log; ``pairs`` are in the order of the line."""

    time: str
    instance: str
    event: str
    pairs: tuple[tuple[str, str], ...]

    def get(self, key: str) -> str:
        """Return the value of a key; empty if the line does not have the key."""
        return dict(self.pairs).get(key, '')

    def format_for_operator(self) -> str:
        """Format the line for operators: time, instance, event and the other pairs."""
        hidden_keys = {'time', 'level', 'event', 'instance', _REQUEST_ID_KEY}
        shown_pairs = ' '.join(f'{key}={value}' for key, value in self.pairs if key not in hidden_keys and value)
        return f'{self.time}  {self.instance}  {self.event}  {shown_pairs}'.rstrip()


def parse_line(text: str) -> LogLine | None:
    """Parse one line; return None if it does not record an event.

    Examples
    --------
    >>> parse_line('time=2026-01-01T00:00:00 level=info event=request instance=e1 notes="a b"').get('notes')
    'a b'
    >>> parse_line('something else') is None
    True
    """
    pairs = tuple((key, _unquote(value)) for key, value in _PAIR.findall(text))
    values = dict(pairs)
    if 'time' not in values or 'event' not in values:
        return None
    return LogLine(values['time'], values.get('instance', ''), values['event'], pairs)


def build_timeline(lines: Iterable[str], request_id: str) -> list[str]:
    """Return the events of a request in order, after the state of the processes and targets involved.

    Parameters
    ----------
    lines : iterable of str
        Lines of one or more logs, in any order.
    request_id : str
        Identifier of the request.

    Returns
    -------
    list of str
        Lines of text; empty if no log line names the request.
    """
    parsed = sorted((line for line in map(parse_line, lines) if line is not None), key=_get_time)
    request_lines = [line for line in parsed if line.get(_REQUEST_ID_KEY) == request_id]
    if not request_lines:
        return []
    earlier_lines = [line for line in parsed if line.time <= request_lines[-1].time]
    targets = {line.get('target') for line in request_lines} - {''}
    state_lines = _find_last_state_events(earlier_lines, {line.instance for line in request_lines}, targets)
    return [
        f'request {request_id}: state of its processes',
        *(line.format_for_operator() for line in sorted(state_lines, key=_get_time)),
        'events of the request',
        *(line.format_for_operator() for line in request_lines),
    ]


def _find_last_state_events(lines: list[LogLine], instances: set[str], targets: set[str]) -> list[LogLine]:
    last_lines: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        target = line.get('target')
        is_relevant = line.event in PROCESS_STATE_EVENTS or (line.event in TARGET_STATE_EVENTS and target in targets)
        if line.instance in instances and is_relevant:
            last_lines[(line.instance, line.event, target)] = line
    return list(last_lines.values())


def _get_time(line: LogLine) -> str:
    return line.time


def _unquote(value: str) -> str:
    return json.loads(value) if value.startswith('"') else value
