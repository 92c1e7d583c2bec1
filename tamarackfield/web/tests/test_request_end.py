"""Each whole request that ends without an answer or a refusal leaves one log line and is counted."""

import asyncio

import pytest
from loguru import logger

from tamarackfield.core import RequestError
from tamarackfield.observe.operations import answer_error
from tamarackfield.web import AnswerCutError, HttpServer

REQUEST = b'GET /x HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\n\r\n'
EVENTS = {'request_without_answer', 'connection_closed_unread'}


@pytest.fixture
def lines():
    """Collect the lines of the ends of requests that are written at the level of an operator."""
    collected = []

    def collect(message):
        if message.record['message'] in EVENTS:
            collected.append((message.record['message'], message.record['extra']))

    sink = logger.add(collect, level='INFO')
    yield collected
    logger.remove(sink)


async def answer(request, responder):
    """Answer a request."""
    await responder.send_json(200, {'answered': True})


async def refuse(request, responder):
    """Refuse a request."""
    raise RequestError('no place', step='test', status=503, code='no_place')


async def begin(responder):
    """Send the beginning of an answer."""
    await responder.send_head(200, [('Content-Length', '2')])
    await responder.send_body(b'o')


async def cut(request, responder):
    """Begin an answer and break it off."""
    await begin(responder)
    raise AnswerCutError('target broke off')


async def refuse_late(request, responder):
    """Begin an answer and refuse it then."""
    await begin(responder)
    raise RequestError('no place', step='test', status=503, code='no_place')


async def wait(request, responder):
    """Never answer."""
    await asyncio.Event().wait()


async def run_server(handler, use, on_error=answer_error):
    """Serve one connection that ``use`` uses, and close; return the counted reasons."""
    reasons = []
    server = HttpServer(handler, on_error)
    server.count_unanswered = reasons.append
    await server.listen('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
    await use(server, reader, writer)
    writer.close()
    while server.busy or server.idle:
        await asyncio.sleep(0)
    await server.close()
    return reasons


async def ask(server, reader, writer):
    """Send a request and read up to the end of the connection."""
    writer.write(REQUEST)
    await reader.read()


@pytest.mark.parametrize('handler', [cut, refuse_late])
async def test_answer_that_breaks_off_leaves_one_line(lines, handler):
    assert await run_server(handler, ask) == ['cut']
    ends = [(event, fields['request_id'], fields['reason'], fields['head_sent']) for event, fields in lines]
    assert ends == [('request_without_answer', 'r1', 'cut', True)]


async def test_refusal_that_cannot_be_sent_leaves_one_line(lines):
    async def fail(error, responder):
        await responder.finish()

    assert await run_server(refuse, ask, fail) == ['not_sent']
    assert [(event, fields['request_id']) for event, fields in lines] == [('request_without_answer', 'r1')]
    assert 'LocalProtocolError' in lines[0][1]['error']


async def test_caller_that_leaves_leaves_one_line(lines):
    async def leave(server, reader, writer):
        writer.write(REQUEST)
        while not server.busy:
            await asyncio.sleep(0)

    assert await run_server(wait, leave) == ['caller_left']
    assert [fields['reason'] for _, fields in lines] == ['caller_left']


async def test_request_that_is_cut_by_the_end_of_the_server_leaves_one_line(lines):
    async def close_server(server, reader, writer):
        writer.write(REQUEST)
        while not server.busy:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        await server.close()

    assert await run_server(wait, close_server) == ['stopped']
    assert [fields['reason'] for _, fields in lines] == ['stopped']


@pytest.mark.parametrize(('sent', 'reasons'), [(REQUEST, ['unread']), (REQUEST[:20], [])])
async def test_connection_that_closes_with_bytes_of_a_request_leaves_one_line(lines, sent, reasons):
    async def pipeline(server, reader, writer):
        server.disable_keep_alive()
        writer.write(REQUEST + sent)
        await reader.read()

    assert await run_server(answer, pipeline) == reasons
    ends = [(event, fields['bytes'], fields['whole_request']) for event, fields in lines]
    assert ends == [('connection_closed_unread', len(sent), bool(reasons))]


@pytest.mark.parametrize('handler', [answer, refuse])
async def test_answers_and_refusals_leave_no_line_of_a_lost_request(lines, handler):
    async def ask_once(server, reader, writer):
        writer.write(REQUEST)
        await reader.readline()

    assert await run_server(handler, ask_once) == []
    assert lines == []
