"""Ends of targets as an entry finds them out itself, after runs have ended or broken off with their connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from tamarackfield.core import BOOT_CLOCK, SYSTEM_CLOCK, Address, Application
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.liveness import LivenessCheck, StatusDialect
from tamarackfield.gateway.model import Catalog, TargetRecord
from tamarackfield.policy.crashes import Crash, make_crash
from tamarackfield.web.client import ClientError
from tamarackfield.web.liveness import Liveness
from tamarackfield.web.pool import ConnectionPool, open_connection
from tamarackfield.wire.crash_reports import BrokenRun, make_suspect_run

#: Attempts to connect to a target without a sidecar that responds, and seconds between two of them, to find out
#: whether it has ended.
END_CHECKS = 3
END_CHECK_INTERVAL_SECONDS = 0.1
#: Seconds after the break of a run in which the instance list, or another instance at the address of its target, tells
#: that this has ended: something may accept connections in its place. Items of crashed targets expire in some seconds.
LISTED_END_SECONDS = 10.0
#: Limit of the broken runs that wait for that.
MAX_BROKEN_RUNS = 256


class EndWatch:
    """Finds out whether targets have ended: nothing listens at their address, or the instance list says so.

    Parameters
    ----------
    application : Application
        Owns the tasks of the checks.
    on_crash : callable
        Called with each crash that is found.

    Attributes
    ----------
    broken_runs : deque of pairs
        Runs that broke off lately, with the monotonic seconds of that.
    check_liveness : callable
        Coroutine function that finds out whether a target lives.
    """

    def __init__(self, application: Application, on_crash: Callable[[Crash], None]) -> None:
        """Watch nothing."""
        self.application = application
        self.on_crash = on_crash
        self.broken_runs: deque[tuple[float, BrokenRun]] = deque(maxlen=MAX_BROKEN_RUNS)
        self.check_liveness: Callable[[Target], Awaitable[Liveness]] = _know_nothing

    def connect(self, pool: ConnectionPool, dialect: StatusDialect, find_catalog: Callable[[], Catalog | None]) -> None:
        """Ask targets in a dialect whether they live; a pool limits the memory for their answers."""
        self.check_liveness = LivenessCheck(pool, dialect, find_catalog).check

    def check(self, run: BrokenRun, address: Address) -> asyncio.Future[None]:
        """Find out whether the target of a broken run has ended; return what is done after the first attempt."""
        first_check: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.application.spawn(self._check_end(run, address, first_check), f'end-of-{run.target}')
        return first_check

    async def explain_unproven_end(self, run: BrokenRun, target: Target, is_watched: bool) -> str:
        """Return why a target may not have finished an answer that only the end of its connection ended.

        Parameters
        ----------
        run : BrokenRun
            Run of the answer.
        target : Target
            Its target.
        is_watched : bool
            Whether a sidecar responds, which records crashes of the target.

        Returns
        -------
        str
            Empty if the target has answered a later call.
        """
        liveness = await self.check_liveness(target)
        if liveness is Liveness.ENDED and not is_watched:
            self._record_crash(run.target, run.started_ms, [run])
        return '' if liveness is Liveness.ALIVE else f'target is {liveness.value} after it closed the connection'

    def record_end(self, record: TargetRecord) -> None:
        """Record what the instance list says: a target has ended, which is a crash if runs had broken off at it."""
        now = BOOT_CLOCK.monotonic()
        key = (record.name, record.started_ms)
        runs = [
            run for at, run in self.broken_runs if now - at < LISTED_END_SECONDS and (run.target, run.started_ms) == key
        ]
        self.broken_runs = deque((row for row in self.broken_runs if row[1] not in runs), MAX_BROKEN_RUNS)
        if runs:
            self._record_crash(record.name, record.started_ms, runs)

    async def _check_end(self, run: BrokenRun, address: Address, first_check: asyncio.Future[None]) -> None:
        self.broken_runs.append((BOOT_CLOCK.monotonic(), run))
        for _ in range(END_CHECKS):
            has_ended = await _is_refused(address)
            if has_ended:
                self._record_crash(run.target, run.started_ms, [run])
            if not first_check.done():
                first_check.set_result(None)
            if has_ended:
                return
            await asyncio.sleep(END_CHECK_INTERVAL_SECONDS)

    def _record_crash(self, target: str, started_ms: int, runs: list[BrokenRun]) -> None:
        suspects = [make_suspect_run(run) for run in runs]
        self.on_crash(make_crash(target, started_ms, SYSTEM_CLOCK.unix_ms(), suspects))


async def _is_refused(address: Address) -> bool:
    """Return whether no process listens at an address."""
    try:
        connection = await open_connection(address)
    except ClientError as exc:
        return isinstance(exc.__cause__, ConnectionRefusedError)
    connection.fail('not used')
    return False


async def _know_nothing(target: Target) -> Liveness:
    """Ask nobody."""
    return Liveness.UNKNOWN
