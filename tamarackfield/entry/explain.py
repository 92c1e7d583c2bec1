"""Operators' page ``/explain``: steps of a past request, or the routing decision for a new one."""

import dataclasses
from http import HTTPStatus
from typing import Any

from tamarackfield.bundle import Bundle, TargetEntry
from tamarackfield.core import SYSTEM_CLOCK, RequestError, parse_adapter_ref
from tamarackfield.core.errors import refusal
from tamarackfield.core.ids import AdapterRefError
from tamarackfield.entry.calls import DEFAULT_TIMEOUT_SECONDS, resolve_adapter
from tamarackfield.entry.fleet import Fleet
from tamarackfield.entry.records import RequestRecords
from tamarackfield.policy import RoutingRequest

_MS_PER_SECOND = 1000
Steps = list[dict[str, Any]]


def explain_request(records: RequestRecords, request_id: str) -> dict[str, Any]:
    """Return the recorded steps and the result of a request.

    Parameters
    ----------
    records : RequestRecords
        Records of the recent requests of this entry.
    request_id : str
        Value of the header ``X-Request-Id``.

    Returns
    -------
    dict
        Verdict, summary and steps in types that JSON can encode; verdict ``unknown`` if this entry has no record.
    """
    record = records.by_id.get(request_id)
    if record is None:
        summary = f'this entry keeps no request {request_id!r}; ask the other entries or search the logs'
        return {'verdict': 'unknown', 'summary': summary, 'steps': []}
    return dataclasses.asdict(record)


def explain_route(bundle: Bundle | None, fleet: Fleet, zone: str, model_and_caller: tuple[str, str]) -> dict[str, Any]:
    """Return the target to which a request would be routed now, or the reason for which it would be refused.

    Parameters
    ----------
    bundle : Bundle or None
        Bundle in force; None before the first one.
    fleet : Fleet
        Targets and the links to their sidecars.
    zone : str
        Availability zone of this entry.
    model_and_caller : tuple of str
        ``adapter@version`` and the name of the caller.

    Returns
    -------
    dict
        Verdict, summary and steps in types that JSON can encode.
    """
    steps: Steps = []
    try:
        chosen = _route(bundle, fleet, zone, model_and_caller, steps)
    except RequestError as exc:
        steps.append({'step': exc.step, 'ok': False, 'code': exc.code, 'outcome': exc.outcome.value})
        return {'verdict': 'refused', 'summary': f'{exc.code}: {exc.message}', 'steps': steps}
    return {'verdict': 'routed', 'summary': f'would go to {chosen}', 'steps': steps}


def _route(bundle: Bundle | None, fleet: Fleet, zone: str, model_and_caller: tuple[str, str], steps: Steps) -> str:
    if bundle is None:
        raise refusal(
            'no bundle is in force yet', step='resolve', code='starting', status=HTTPStatus.SERVICE_UNAVAILABLE
        )
    model, caller = model_and_caller
    try:
        adapter = parse_adapter_ref(model)
    except AdapterRefError as exc:
        raise refusal(exc.message, step='resolve', code='bad_model') from None
    if caller not in bundle.callers:
        raise refusal(
            f'{caller!r} is not a caller', step='authenticate', code='invalid_api_key', status=HTTPStatus.UNAUTHORIZED
        )
    entry, base = resolve_adapter(bundle, adapter, caller)
    steps.append({'step': 'resolve', 'ok': True, 'bundle': bundle.number, 'base_model': base})
    steps.append({'step': 'authorize', 'ok': True, 'priority': entry.grants[caller]})
    targets = bundle.find_engines(base, entry.regions)
    steps.extend(_describe_candidate(fleet, target, model) for target in targets)
    now = SYSTEM_CLOCK.monotonic()
    link = fleet.choose_link(RoutingRequest(model, zone, now, now + DEFAULT_TIMEOUT_SECONDS), targets, set())
    steps.append({'step': 'route', 'ok': True, 'target': link.target.name, 'router': fleet.router_config[0]})
    return link.target.name


def _describe_candidate(fleet: Fleet, target: TargetEntry, model: str) -> dict[str, Any]:
    """Return the state of a target that may serve the request, as this entry knows it."""
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
