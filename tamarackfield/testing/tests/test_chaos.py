"""Short chaos runs on fixed seeds; ``bin/chaos`` runs longer ones."""

import pytest

from tamarackfield.testing.chaos import run_chaos


@pytest.mark.parametrize('seed', [1, 2])
async def test_promises_hold_under_random_faults(tmp_path, seed):
    run = await run_chaos(tmp_path, seed, 6)
    assert run.violations == []
    assert run.incidents
    assert run.outcomes['whole']
