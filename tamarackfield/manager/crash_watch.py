"""Runs that broke off lately, and the ends of incarnations of the engine that they may have caused or suffered from."""

from tamarackfield.wire.crash_reports import BrokenRun

#: Seconds from the break of a connection to the known end of the engine within which the end explains the break: this
#: process notices within some milliseconds that nothing listens any more.
CRASH_LINK_SECONDS = 1.5
#: Seconds after the known end in which entries report the runs that broke off with it; later ones were sent after it.
LATE_REPORT_SECONDS = 0.4
#: Number of ended incarnations that are remembered for runs that are reported late.
_MAX_ENDS = 8


class CrashWatch:
    """Broken runs of one engine, and the ends of its incarnations."""

    def __init__(self) -> None:
        """Create a watch without runs."""
        # Time of the report with each run.
        self.runs: list[tuple[float, BrokenRun]] = []
        # Time of the end of each incarnation by its start.
        self.ends: dict[int, float] = {}

    def record_run(self, run: BrokenRun, now: float) -> None:
        """Record a run whose connection broke."""
        self.runs = [(at, earlier) for at, earlier in self.runs if now - at <= CRASH_LINK_SECONDS]
        self.runs.append((now, run))

    def record_end(self, started_ms: int, now: float) -> bool:
        """Record that an incarnation has ended; return whether that is new."""
        if started_ms in self.ends:
            return False
        self.ends[started_ms] = now
        for earliest in list(self.ends)[:-_MAX_ENDS]:
            self.ends.pop(earliest)
        return True

    def list_runs(self, started_ms: int) -> list[BrokenRun]:
        """Return the runs that broke around the end of an incarnation, those that wrote for the shortest time first."""
        ended_at = self.ends.get(started_ms)
        if ended_at is None:
            return []
        runs = [
            run
            for at, run in self.runs
            if run.started_ms == started_ms and -CRASH_LINK_SECONDS <= at - ended_at <= LATE_REPORT_SECONDS
        ]
        return sorted(runs, key=lambda run: run.wrote_ms)
