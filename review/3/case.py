"""The store turns away three entries of ten, the seeds: they do not learn of a new configuration from the others."""

import asyncio
import time

from rig import MODEL_SERVICE, PLAIN_SERVICE, TROUBLE, Rig, run_case

from tamarackfield.testing.platform_site import make_config, make_route
from tamarackfield.web import HttpRequest, HttpServer, Responder
from tamarackfield.web.client import ClientError
from tamarackfield.web.text_answers import answer_error

CONFIG_APPLY_S, MAX_SKEW_S = 2.0, 5.0
AWAY_S = 9.0
ENTRIES, SIDECARS = 10, 2
ROUTES = [
    make_route('/look/', 'idempotent', PLAIN_SERVICE),
    make_route('/draft/', 'streaming', MODEL_SERVICE, max_attempts=1),
]
ADDED = make_route('/added/', 'idempotent', PLAIN_SERVICE)


class SeedsDoor:
    """Second address of the store, used by the entries that are seeds; it can turn all callers away."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.closed = False
        self.turned_away = 0
        self.server = HttpServer(self.answer, answer_error)

    async def answer(self, request: HttpRequest, responder: Responder) -> None:
        """Answer like the store, or with 503; a watch that waits when the door closes is cut."""
        if not self.closed:
            await self.rig.site.store.handle_request(request, responder)
            return
        self.turned_away += 1
        await responder.send_json(503, {})

    def close_to_all(self) -> None:
        """Turn callers away from now on, those with a waiting watch too."""
        self.closed = True
        for task in list(self.server.busy):
            task.cancel()


async def add_entries(rig: Rig, door: SeedsDoor) -> None:
    """Start the entries, all with the same three seeds, as the settings of the platform have them."""
    site = rig.site
    await door.server.listen(site.store_host, 0)
    for _ in range(ENTRIES):
        await site.add_entry(wait=False)
    for entry in site.entries:
        entry.settings['seeds'] = list(site.seeds[:3])
        if entry in site.entries[:3]:
            entry.settings['provider'] = {'address': f'{site.store_host}:{door.server.port}'}
        await entry.kill()
        await entry.start()
    for entry in site.entries:
        await entry.wait_ready()
        await site.wait_for_sidecars(entry)


async def ask(rig: Rig, entry: int, path: str) -> int:
    sent_at = time.monotonic()
    try:
        status, _, _ = await rig.site.call(path, entry=entry)
    except ClientError as exc:
        rig.note(f'GET {path} at front-{entry + 1}: {exc}', sent_at)
        return 0
    rig.note(f'GET {path} at front-{entry + 1}: {status}', sent_at)
    return status


async def play(rig: Rig) -> tuple[bool, str]:
    site = rig.site
    for number in range(2):
        await site.add_worker(f'p{number + 1}')
    for number in range(SIDECARS):
        await site.add_sidecar(await site.add_worker(f'm{number + 1}', MODEL_SERVICE))
    door = SeedsDoor(rig)
    await add_entries(rig, door)
    await asyncio.sleep(4)
    for entry in range(ENTRIES):
        await ask(rig, entry, '/look/x')
    away_from = time.monotonic()
    if TROUBLE:
        door.close_to_all()
        rig.note('the store answers front-1, front-2 and front-3 with 503 and serves the others')
    await asyncio.sleep(0.5)
    site.store.put('op/config', make_config(2, [*ROUTES, ADDED]))
    acked = time.monotonic()
    rig.note('version 2 is acknowledged, which adds the route /added/', acked)
    late = []
    while time.monotonic() < away_from + AWAY_S + 4:
        now = time.monotonic()
        if door.closed and now >= away_from + AWAY_S:
            door.closed = False
            rig.note('the store serves all')
        statuses = await asyncio.gather(*(ask(rig, entry, '/added/x') for entry in range(ENTRIES)))
        if now > acked + CONFIG_APPLY_S + MAX_SKEW_S:
            late += [f'front-{entry + 1}' for entry, status in enumerate(statuses) if status == 404]
        await asyncio.sleep(0.25)
    rig.note(f'{door.turned_away} calls were turned away')
    await door.server.close()
    at = ', '.join(sorted(set(late)))
    return (
        bool(late),
        f'{len(late)} requests sent over {CONFIG_APPLY_S + MAX_SKEW_S} s after the acknowledgement got 404 on the added route ({at})',
    )


run_case(__file__.rpartition('/')[0], make_config(1, ROUTES), play)
