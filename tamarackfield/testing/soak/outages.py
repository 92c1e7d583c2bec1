"""Silences of the store, and the check that changes are in force in time beside and after them."""

import asyncio
import math
from collections.abc import Callable, Iterable
from http import HTTPStatus

from tamarackfield.core import SYSTEM_CLOCK
from tamarackfield.testing.incidents import Incident
from tamarackfield.testing.platform_site import CHANGE_SECONDS, CONTACT_SECONDS
from tamarackfield.testing.soak.plan import PlannedFault
from tamarackfield.testing.soak.probes import Probe
from tamarackfield.testing.soak.site import SoakSite

#: Bounds of a silence in seconds; most are short.
MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS = 0.2, 12.0
#: Time after a silence in which the store answers, so that changes are due, in seconds.
CALM_SECONDS = CONTACT_SECONDS + CHANGE_SECONDS
#: Name of a planned silence that is left out because the one before has just ended.
LEFT_ALONE = 'store_left_alone'
#: Faults that change what an entry knows, or can read, without being a disturbance of it.
PLANNED_CHANGES = frozenset(('configuration_changed', 'version_announced', LEFT_ALONE))

#: Whether a disturbance of any entry overlapped a period.
IsExcused = Callable[[float, float], bool]


async def silence_store(site: SoakSite, step: PlannedFault, incident: Incident) -> None:
    """Answer no call for a time; calls that wait when it ends are never answered."""
    if incident.started_at < site.store_calm_until:
        incident.name = LEFT_ALONE
        return
    site.store_calm_until = math.inf
    seconds = MIN_SILENCE_SECONDS + (MAX_SILENCE_SECONDS - MIN_SILENCE_SECONDS) * step.variant_share**3
    incident.where = f'{seconds:.1f} s'
    site.store.fault = 'silent'
    await asyncio.sleep(seconds)
    site.store.lose_calls()
    site.store.fault = ''
    site.store_calm_until = SYSTEM_CLOCK.monotonic() + CALM_SECONDS


def check_applied(probes: Iterable[Probe], changed_at: dict[int, float], is_excused: IsExcused) -> Iterable[str]:
    """Yield the probes that were refused by an older configuration than has to be in force.

    Parameters
    ----------
    probes : iterable of Probe
        Answers on routes that versions of the configuration added.
    changed_at : dict
        Monotonic seconds at which the store had each version.
    is_excused : callable
        Whether a disturbance overlapped a period.
    """
    for probe in probes:
        age = probe.sent_at - changed_at.get(probe.version, probe.sent_at)
        is_due = age > CHANGE_SECONDS and not is_excused(probe.sent_at - CONTACT_SECONDS, probe.sent_at)
        if probe.status == HTTPStatus.NOT_FOUND and is_due:
            yield f'{probe.entry} answered 404 for version {probe.version}, {age:.2f} s after it was in the store'


def is_disturbance(name: str) -> bool:
    """Return whether a fault excuses that a change is not known."""
    return name not in PLANNED_CHANGES and not name.startswith(('worker', 'stream', 'answers', 'limit'))
