"""Waits for another side use `core.time_limits`, and not the limits of asyncio, which win over bytes that are here."""

import pathlib
import re

PACKAGE = pathlib.Path(__file__).parents[2]
ASYNCIO_LIMIT = re.compile(r'asyncio\.(timeout|timeout_at|wait_for)\(|asyncio\.wait\([^\n]*timeout=')
#: Modules that limit how long they themselves pause or stop; none of them waits there for another process.
OWN_INTERVALS = {
    'core/connections.py',
    'gateway/app.py',
    'manager/engine.py',
    'manager/server.py',
    'core/settings_watch.py',
    'sidecar/engine_tasks.py',
    'sidecar/worker.py',
}


def test_only_own_intervals_use_the_limits_of_asyncio():
    users = {
        path.relative_to(PACKAGE).as_posix()
        for path in PACKAGE.rglob('*.py')
        if {'tests', 'testing'}.isdisjoint(path.relative_to(PACKAGE).parts) and ASYNCIO_LIMIT.search(path.read_text())
    }
    assert users == OWN_INTERVALS
