"""Start, supervision and stop of the tasks of an application."""

import asyncio

from tamarackfield.core import Application


async def test_task_that_suppresses_a_cancellation_does_not_block_stop():
    application = Application('test')
    suppressed = asyncio.Event()

    async def suppress_first_cancellation():
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            suppressed.set()
        await asyncio.Event().wait()

    application.spawn(suppress_first_cancellation(), 'stubborn')
    await asyncio.sleep(0)
    await asyncio.wait_for(application.stop(), 30)
    assert suppressed.is_set()
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


async def test_failed_supervised_task_is_restarted_and_counted():
    application = Application('test')
    second_run_started = asyncio.Event()
    runs = []

    async def fail_first_run():
        runs.append('run')
        if len(runs) == 1:
            raise KeyError('an adapter that is not there')
        second_run_started.set()
        await asyncio.Event().wait()

    application.supervise(fail_first_run, 'essential')
    await asyncio.wait_for(second_run_started.wait(), 30)
    assert application.restarted_tasks == 1
    await asyncio.wait_for(application.stop(), 30)
    assert not application.tasks


async def test_supervised_task_that_returns_is_not_restarted():
    application = Application('test')
    runs = []

    async def return_immediately():
        runs.append('run')

    await asyncio.wait_for(application.supervise(return_immediately, 'short'), 30)
    assert runs == ['run']
