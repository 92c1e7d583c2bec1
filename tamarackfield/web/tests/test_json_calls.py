"""JSON requests: the status and headers of an error answer count, whatever its body is."""

import pytest

from tamarackfield.web import HttpServer
from tamarackfield.web.client import ClientError
from tamarackfield.web.json_calls import call_json
from tamarackfield.web.pool import ConnectionPool
from tamarackfield.web.text_answers import answer_error, send_text

HOST = '127.0.0.1'


async def call_text_server(status):
    """Call a server that answers with a status and a body that is not JSON."""

    async def answer(_, responder):
        await send_text(responder, status, 'busy', (('Retry-After', '3'),))

    server = HttpServer(answer, answer_error)
    await server.listen(HOST, 0)
    pool = ConnectionPool()
    try:
        return await call_json(pool, (HOST, server.port), 'GET', '/')
    finally:
        pool.close()
        await server.close()


async def test_refusal_with_a_text_body_has_its_status_and_headers():
    refusal = await call_text_server(503)
    assert (refusal.status, refusal.headers['retry-after'], refusal.document) == (503, '3', None)


async def test_success_with_a_text_body_is_an_error():
    with pytest.raises(ClientError):
        await call_text_server(200)
