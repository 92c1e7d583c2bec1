"""Small sites for the tests of the real programs."""

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, running_site


@pytest.fixture
async def one(tmp_path):
    """Run an entry before one plain worker."""
    async with running_site(tmp_path) as site:
        await site.add_worker('w1')
        await site.add_entry()
        yield site


@pytest.fixture
async def two(tmp_path):
    """Run an entry before two plain workers."""
    async with running_site(tmp_path) as site:
        await site.add_worker('w1')
        await site.add_worker('w2')
        await site.add_entry()
        yield site


@pytest.fixture
async def model(tmp_path):
    """Run an entry before one model worker with its sidecar."""
    async with running_site(tmp_path) as site:
        worker = await site.add_worker('m1', MODEL_SERVICE)
        await site.add_sidecar(worker)
        await site.wait_for_sidecars(await site.add_entry())
        yield site
