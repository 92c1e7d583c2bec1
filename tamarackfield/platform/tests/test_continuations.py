"""Streams that break off and whose next worker answers with something else than their rest."""

import pytest

from tamarackfield.testing.platform_site import MODEL_SERVICE, read_events
from tamarackfield.web import ClientError

ADAPTER = ('Tamarackfield-Model', 'base/a7')
KINDS = ('unframed', 'unnumbered', 'text', '400', '404', '204', '500', '600', '999')


async def start_workers(site, count):
    """Start further model workers, and send what earns the retries of later requests."""
    for number in range(2, count + 1):
        await site.add_sidecar(await site.add_worker(f'm{number}', MODEL_SERVICE))
    await site.wait_for_sidecars(site.entries[0])
    for _ in range(12):
        async with site.stream('/draft/x', [ADAPTER]) as response:
            await read_events(response)


async def read_broken_stream(site, request_id):
    """Return what a caller receives of a stream until it is cut."""
    received = bytearray()
    with pytest.raises(ClientError):
        async with site.stream('/summary/x', [ADAPTER, ('Tamarackfield-Request-Id', request_id)]) as response:
            async for chunk in response.chunks():
                received.extend(chunk)
    return bytes(received)


@pytest.mark.parametrize('kind', KINDS)
async def test_answer_that_is_no_continuation_does_not_end_up_in_a_broken_stream_or_complete_it(model_site, kind):
    await start_workers(model_site, 2)
    for worker in model_site.workers.values():
        worker.cut_after_event = 3
        worker.odd_continuation = kind
    received = await read_broken_stream(model_site, 'broken')
    assert received == b''.join(b'id: %d\ndata: event %d\n\n' % (number, number) for number in (1, 2, 3))
    assert model_site.count_runs('broken') == 2


async def test_stream_that_was_complete_but_for_its_end_is_ended_when_its_next_worker_says_so(model_site):
    await start_workers(model_site, 2)
    for worker in model_site.workers.values():
        worker.cut_after_event = worker.event_count
        worker.odd_continuation = 'empty'
    async with model_site.stream('/summary/x', [ADAPTER, ('Tamarackfield-Request-Id', 'unended')]) as response:
        events = await read_events(response)
    assert len(events) == model_site.workers['m1'].event_count
    assert model_site.count_runs('unended') == 2
