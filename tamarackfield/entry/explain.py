"""Answers of the operators' page ``/explain``: what was decided, or what would be decided now."""

import dataclasses
from http import HTTPStatus
from typing import Any

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, RequestError, parse_adapter_ref
from tamarackfield.core.errors import refusal
from tamarackfield.core.ids import AdapterRefError
from tamarackfield.entry.calls import DEFAULT_SECONDS, find_adapter
from tamarackfield.entry.fleet import Fleet
from tamarackfield.entry.records import RequestRecords
from tamarackfield.policy import RoutingRequest

_MS_PER_SECOND = 1000
Steps = list[dict[str, Any]]


def explain_request(records: RequestRecords, request_id: str) -> dict[str, Any]:
    """Tell what became of a request.

    Parameters
    ----------
    records : RequestRecords
        Of this entry.
    request_id : str
        Its ``X-Request-Id``.

    Returns
    -------
    dict
        Verdict, summary and steps, ready for JSON; verdict ``unknown`` if it is not kept here.
    """
    record = records.records.get(request_id)
    if record is None:
        summary = f'this entry keeps no request {request_id!r}; ask the other entries or search the logs'
        return {'verdict': 'unknown', 'summary': summary, 'steps': []}
    return dataclasses.asdict(record)


def explain_route(bundle: Bundle | None, fleet: Fleet, zone: str, asked: tuple[str, str]) -> dict[str, Any]:
    """Tell where a request would go now, or why it would be refused.

    Parameters
    ----------
    bundle : Bundle or None
        In force now.
    fleet : Fleet
        Links to targets.
    zone : str
        Availability zone of this entry.
    asked : tuple of str
        ``adapter@version`` and the name of the caller.

    Returns
    -------
    dict
        Verdict, summary and steps, ready for JSON.
    """
    steps: Steps = []
    try:
        chosen = _decide(bundle, fleet, zone, asked, steps)
    except RequestError as exc:
        steps.append({'step': exc.step, 'ok': False, 'code': exc.code, 'outcome': exc.outcome.value})
        return {'verdict': 'refused', 'summary': f'{exc.code}: {exc.message}', 'steps': steps}
    return {'verdict': 'routed', 'summary': f'would go to {chosen}', 'steps': steps}


def _decide(bundle: Bundle | None, fleet: Fleet, zone: str, asked: tuple[str, str], steps: Steps) -> str:
    if bundle is None:
        raise refusal(
            'no bundle is in force yet', step='resolve', code='starting', status=HTTPStatus.SERVICE_UNAVAILABLE
        )
    model, caller = asked
    try:
        adapter = parse_adapter_ref(model)
    except AdapterRefError as exc:
        raise refusal(exc.message, step='resolve', code='bad_model') from None
    if caller not in bundle.callers:
        raise refusal(
            f'{caller!r} is not a caller', step='authenticate', code='invalid_api_key', status=HTTPStatus.UNAUTHORIZED
        )
    entry, base = find_adapter(bundle, adapter, caller)
    steps.append({'step': 'resolve', 'ok': True, 'bundle': bundle.number, 'base_model': base})
    steps.append({'step': 'authorize', 'ok': True, 'priority': entry.grants[caller]})
    targets = bundle.find_engines(base, entry.regions)
    steps.extend(_candidate(fleet, target, model) for target in targets)
    now = SYSTEM_CLOCK.monotonic()
    link = fleet.choose(RoutingRequest(model, zone, now, now + DEFAULT_SECONDS), targets, set())
    steps.append({'step': 'route', 'ok': True, 'target': link.target.name, 'router': fleet.routing[0]})
    return link.target.name


def _candidate(fleet: Fleet, target: TargetEntry, model: str) -> dict[str, Any]:
    """Return what this entry knows of a target that may serve the request."""
    link = fleet.links.get(target.name)
    step: dict[str, Any] = {'step': 'candidate', 'target': target.name, 'zone': target.zone, 'state': 'not followed'}
    if link is None:
        return step
    if link.usable:
        step['state'] = 'usable'
    elif link.stream is None:
        step['state'] = 'not connected'
    else:
        step['state'] = f'draining: {link.draining}' if link.draining else 'not ready'
    if link.report is not None:
        view = link.view()
        age = SYSTEM_CLOCK.monotonic() - view.reported_at
        step |= {'holds_adapter': model in view.residents, 'running': view.running, 'queued': view.queued}
        step |= {'outstanding': view.outstanding, 'report_age_ms': round(age * _MS_PER_SECOND)}
    return step
