"""Series of faults that a soak test draws from; their order decides which faults a seed gives."""

from enum import StrEnum

from tamarackfield.testing.soak.faults import (
    CRASH_FAULTS,
    FAULTS,
    FURTHER_FAULTS,
    LATEST_FAULTS,
    LIMIT_FAULTS,
    OUTAGE_FAULTS,
    SIGNAL_FAULTS,
    STANDSTILL_FAULTS,
)

#: Faults that are drawn beside `CRASH_FAULTS` where only crashes are to be tested.
BESIDE_CRASHES = ('entry_killed', 'entry_stopped', 'sidecar_killed', 'store_silent', 'worker_left', 'worker_restarted')
#: Faults that are drawn beside `OUTAGE_FAULTS` where only silences of the store are to be tested.
BESIDE_OUTAGES = ('configuration_changed', 'version_announced', 'worker_left')
#: Faults that are drawn beside `LIMIT_FAULTS` where only limits are to be tested.
BESIDE_LIMITS = ('entry_killed', 'entry_stopped', 'sidecar_killed', 'sidecar_stopped', 'sidecar_paused')
#: Faults that are drawn beside `SIGNAL_FAULTS` where only signals are to be tested.
BESIDE_SIGNALS = ('configuration_changed', 'entry_killed', 'settings_read_again', 'sidecar_killed')


class Series(StrEnum):
    """Series of faults of a run; `FORMER` and `EARLIER` are all series as they were before the last two were added."""

    ALL = 'all'
    FORMER = 'former'
    STANDSTILLS = 'standstills'
    EARLIER = 'earlier'
    LIMITS = 'limits'
    OUTAGES = 'outages'
    CRASHES = 'crashes'
    SIGNALS = 'signals'


def list_kinds(series: Series) -> list[tuple[str, ...]]:
    """Return the names of the faults of each series, empty for one that is left out."""
    kinds = [tuple(faults) for faults in (FAULTS, FURTHER_FAULTS, LATEST_FAULTS, STANDSTILL_FAULTS, LIMIT_FAULTS)]
    former, standstills, limits = kinds[:-2], kinds[-2], kinds[-1]
    left_out: list[tuple[str, ...]] = [() for _ in former]
    series_kinds = {
        Series.FORMER: former,
        Series.EARLIER: [*former, standstills],
        Series.STANDSTILLS: [*left_out, standstills],
        Series.LIMITS: [*left_out, BESIDE_LIMITS, limits],
        Series.OUTAGES: [*left_out, BESIDE_OUTAGES, (), tuple(OUTAGE_FAULTS)],
        Series.CRASHES: [*left_out, BESIDE_CRASHES, (), (), tuple(CRASH_FAULTS)],
        Series.SIGNALS: [*left_out, BESIDE_SIGNALS, tuple(SIGNAL_FAULTS)],
        Series.ALL: [*kinds, (), tuple(CRASH_FAULTS), tuple(SIGNAL_FAULTS)],
    }
    return series_kinds[series]
