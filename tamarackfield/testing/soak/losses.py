"""Checks that no whole request of a caller ends with neither an answer nor a refusal."""

from collections.abc import Iterable

from tamarackfield.testing.platform_worker import Run
from tamarackfield.testing.soak.callers import Call, Close
from tamarackfield.testing.soak.site import SoakSite

#: Time for which a machine is out of touch after it stood still or a link of it was disturbed, in seconds.
CONTACT_SECONDS = 3.0
#: Time after its last byte from which a request that a stopping entry has read, or any entry has not read, counts.
LOSS_SLACK_SECONDS = 0.2
#: Time after the start of an entry's shutdown from which requests that were sent up to `LATEST_SENT_SECONDS` after it
#: may be cut: the last sixth of the grace period.
GRACE_SECONDS, LATEST_SENT_SECONDS = 8.0 * 5 / 6, 3.0
#: Time before its deadline, in seconds, at which a call is over: no answer could arrive in time.
DEADLINE_MARGIN_SECONDS = 0.05
_STANDSTILLS = ('entry_paused', 'entry_held')
_LINK_FAULTS = ('link_disturbed', 'link_delayed')


def check_losses(site: SoakSite, calls: Iterable[Call], runs: dict[str, list[tuple[str, Run]]]) -> None:
    """Record the calls whose connection the entry closed, without a complete answer."""
    for call in calls:
        call_runs = [run for _, run in runs.get(call.request_id, ())]
        if is_lost(site, call, max(call_runs, key=lambda run: run.began_at, default=None)):
            what = f'cut after {len(call.body)} bytes' if call.status else 'closed without an answer'
            site.record_violation(
                f'{call.request_id}: its connection to {call.entry} was {what} ({call.close}), '
                f'{call.ended_at - call.sent_at:.2f} s after it was sent and {call.deadline - call.ended_at:.2f} s '
                'before its deadline',
                call.sent_at,
            )


def is_lost(site: SoakSite, call: Call, last_run: Run | None) -> bool:
    """Return whether an entry lost a call.

    The caller was never idle beyond the limit. So an entry that closes the connection without a word has lost the
    call whatever happened to the entry before: only its own end excuses that, and a call that it has not read and that
    may have crossed the close. A call that was passed on is not lost if its worker broke off, or if the entry or its
    link to the worker was out of touch.
    """
    ends_at = min(call.deadline - DEADLINE_MARGIN_SECONDS, call.sent_at + site.shortest_timeout_seconds)
    if not call.close or call.ended_at >= ends_at or _is_excused_by_end(site, call):
        return False
    if last_run is None:
        return call.close is Close.READ or call.ended_at - call.sent_at > LOSS_SLACK_SECONDS
    return last_run.sound and not _is_out_of_touch(site, call, last_run.worker)


def _is_excused_by_end(site: SoakSite, call: Call) -> bool:
    """Return whether the process of the entry was killed meanwhile, or stopped as planned and may cut the call."""
    if site.overlaps_fault(('entry_killed',), call.sent_at, call.ended_at, call.entry):
        return True
    shutdowns = site.list_overlapping(('entry_stopped',), call.sent_at, call.ended_at, call.entry)
    if not shutdowns:
        return False
    if not call.status and call.ended_at - call.sent_at <= LOSS_SLACK_SECONDS:
        return True
    began_at = shutdowns[0].started_at
    grace_ends = call.ended_at - began_at >= GRACE_SECONDS and call.sent_at <= began_at + LATEST_SENT_SECONDS
    return grace_ends or site.overlaps_fault(_STANDSTILLS, call.sent_at - CONTACT_SECONDS, call.ended_at, call.entry)


def _is_out_of_touch(site: SoakSite, call: Call, worker: str) -> bool:
    since, until = call.sent_at - CONTACT_SECONDS, call.ended_at
    return (
        site.overlaps_fault((*_STANDSTILLS, 'entry_killed', *_LINK_FAULTS), since, until, call.entry)
        or site.overlaps_fault(_LINK_FAULTS, since, until, worker)
        or site.overlaps_fault(('connections_reset',), since, until)
    )
