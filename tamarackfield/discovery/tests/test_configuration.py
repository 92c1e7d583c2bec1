"""Watches of the configuration service that are never answered."""

import asyncio

from tamarackfield.discovery import configuration, watcher
from tamarackfield.testing.virtual_time import run_in_virtual_time

#: Time within which a bundle must be in force, in seconds.
BUNDLE_SECONDS = 3.0


def test_bundle_is_not_late_after_a_watch_that_the_service_lost(monkeypatch):
    calls = []

    async def fetch(address, method, path):
        calls.append(path)
        if len(calls) == 1:
            await asyncio.Event().wait()
        return 200, {'x-revision': '2'}, b'manifest'

    monkeypatch.setattr(configuration, 'fetch', fetch)

    async def watch_twice():
        client = configuration.ConfigurationClient(['127.0.0.1:1'])
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            await client.watch('manifest', 1)
        except configuration.ConfigurationError:
            await asyncio.sleep(watcher.MIN_BACKOFF_SECONDS)
        assert await client.watch('manifest', 1) == (b'manifest', 2)
        return loop.time() - began_at

    assert run_in_virtual_time(watch_twice()) < BUNDLE_SECONDS
