"""Proof that a target lived on: an answer of the same incarnation to a later call (`tamarackfield.web.liveness`)."""

import contextlib
import json
import secrets
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import h11
from loguru import logger

from tamarackfield.core.clock import MS_PER_SECOND
from tamarackfield.core.time_limits import listening_seconds
from tamarackfield.gateway.directory import Target
from tamarackfield.gateway.model import AnswerHead, Catalog, HeaderLines, Service
from tamarackfield.web.answer_budget import read_bounded_body
from tamarackfield.web.answer_room import HeldAnswer
from tamarackfield.web.client import ClientError
from tamarackfield.web.connection import TargetConnection
from tamarackfield.web.json_calls import REQUEST_ID_BYTES
from tamarackfield.web.liveness import Liveness, find_liveness, interpret_failure
from tamarackfield.web.pool import ConnectionPool, open_connection

#: Size limit of the answer to a call.
MAX_STATUS_BYTES = 262_144


class StatusDialect(Protocol):
    """Format of the calls that ask a target for its status, and of their answers.

    Attributes
    ----------
    started_field : str
        Field of a status with the start of the incarnation, in Unix milliseconds.
    """

    started_field: str

    def status_call(self, target: Target, service: Service, request_id: str) -> tuple[str, HeaderLines]:
        """Return the path and headers of a GET that a target answers without running a request."""

    def read_head(self, status: int, headers: HeaderLines) -> AnswerHead:
        """Parse the head of an answer."""


class LivenessCheck:
    """Asks targets whether they live.

    Parameters
    ----------
    pool : ConnectionPool
        Pool of the entry, which limits the memory for answers.
    dialect : StatusDialect
        Formats the calls.
    find_catalog : callable
        Returns the configuration in force, None if there is none.
    """

    def __init__(
        self, pool: ConnectionPool, dialect: StatusDialect, find_catalog: Callable[[], Catalog | None]
    ) -> None:
        """Store the collaborators."""
        self.pool = pool
        self.dialect = dialect
        self.find_catalog = find_catalog

    async def check(self, target: Target) -> Liveness:
        """Find out whether a target lives; a plain one answers when a slot is free."""
        started_at = listening_seconds()
        liveness = await find_liveness(lambda: self._ask(target))
        logger.bind(
            target=target.record.name,
            started_ms=target.record.started_ms,
            liveness=liveness.value,
            waited_ms=round((listening_seconds() - started_at) * MS_PER_SECOND),
        ).info('liveness_checked')
        return liveness

    async def _ask(self, target: Target) -> Liveness:
        """Make one call on a connection of its own: one that is open may have an answer from before."""
        address = target.record.address
        catalog = self.find_catalog()
        service = None if catalog is None else catalog.services.get(target.record.service)
        if service is None:
            return Liveness.UNKNOWN
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        try:
            connection = await open_connection(address)
        except ClientError as exc:
            return interpret_failure(exc)
        try:
            path, headers = self.dialect.status_call(target, service, request_id)
            connection.send(h11.Request(method='GET', target=path, headers=headers), b'')
            return await self._read_answer(target, connection, request_id)
        except (ClientError, h11.LocalProtocolError):
            return Liveness.UNKNOWN
        finally:
            connection.fail('not used any more')

    async def _read_answer(self, target: Target, connection: TargetConnection, request_id: str) -> Liveness:
        event = await connection.receive()
        head = self.dialect.read_head(event.status_code, list(event.headers.raw_items()))
        held = HeldAnswer(request_id)
        try:
            body = await read_bounded_body(connection, self.pool.answers, held, MAX_STATUS_BYTES)
        finally:
            self.pool.answers.release(held)
        if head.request_id not in {'', request_id}:
            return Liveness.UNKNOWN
        record = target.record
        started_ms = _read_field(b''.join(body.parts), self.dialect.started_field)
        is_same = (
            head.status != HTTPStatus.MISDIRECTED_REQUEST
            and head.answered_by in {'', record.name}
            and started_ms in {None, record.started_ms}
        )
        return Liveness.ALIVE if is_same else Liveness.REPLACED


def _read_field(body: bytes, name: str) -> Any:
    """Return a field of a JSON object, None if the body has none."""
    with contextlib.suppress(ValueError, RecursionError):
        document = json.loads(body)
        return document.get(name) if isinstance(document, dict) else None
