"""Life cycle of a process: whatever its tasks do, it stops."""

import asyncio

from tamarackfield.core import Application


async def test_task_that_swallows_a_cancellation_does_not_hold_up_the_stop():
    application = Application('test')
    swallowed = asyncio.Event()

    async def swallow_once():
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            swallowed.set()
        await asyncio.Event().wait()

    application.spawn(swallow_once(), 'stubborn')
    await asyncio.sleep(0)
    await asyncio.wait_for(application.stop(), 30)
    assert swallowed.is_set()
    assert not application.tasks


async def test_stop_hooks_run_in_reverse_order():
    application = Application('test')
    order = []

    def make_hook(name):
        async def hook():
            order.append(name)

        return hook

    for name in ('first', 'second'):
        application.on_stop(make_hook(name))
    await application.stop()
    assert order == ['second', 'first']


async def test_supervised_task_that_fails_runs_again_and_is_counted():
    application = Application('test')
    served = asyncio.Event()
    runs = []

    async def fail_at_first():
        runs.append('run')
        if len(runs) == 1:
            raise KeyError('an adapter that is not there')
        served.set()
        await asyncio.Event().wait()

    application.supervise(fail_at_first, 'essential')
    await asyncio.wait_for(served.wait(), 30)
    assert application.restarted_tasks == 1
    await asyncio.wait_for(application.stop(), 30)
    assert not application.tasks


async def test_supervised_task_that_ends_is_not_run_again():
    application = Application('test')
    runs = []

    async def end():
        runs.append('run')

    await asyncio.wait_for(application.supervise(end, 'short'), 30)
    assert runs == ['run']
