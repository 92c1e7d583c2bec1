"""Sites with a few workers for the tests of the real programs."""

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, running_site


@pytest.fixture
async def one_worker_site(tmp_path):
    """Run an entry with one plain worker."""
    async with running_site(tmp_path) as site:
        await site.add_worker('w1')
        await site.add_entry()
        yield site


@pytest.fixture
async def two_worker_site(tmp_path):
    """Run an entry with two plain workers."""
    async with running_site(tmp_path) as site:
        await site.add_worker('w1')
        await site.add_worker('w2')
        await site.add_entry()
        yield site


@pytest.fixture
async def model_site(tmp_path):
    """Run an entry with one model worker and its sidecar."""
    async with running_site(tmp_path) as site:
        worker = await site.add_worker('m1', MODEL_SERVICE)
        await site.add_sidecar(worker)
        await site.wait_for_sidecars(await site.add_entry())
        yield site
