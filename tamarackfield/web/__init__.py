"""HTTP/1.1 server and clients, based on h11."""

from tamarackfield.web.answer_budget import AnswerBudget
from tamarackfield.web.client import ClientError, ClientResponse, fetch, fetch_json, open_request
from tamarackfield.web.limits import HTTP_SCHEMA, HttpLimits
from tamarackfield.web.pool import ConnectionPool
from tamarackfield.web.request import HttpRequest
from tamarackfield.web.responder import HANDLER_ERRORS, AnswerCutError, CallerDisconnectedError, Responder
from tamarackfield.web.server import HttpServer, make_internal_error

__all__ = [
    'HANDLER_ERRORS',
    'HTTP_SCHEMA',
    'AnswerBudget',
    'AnswerCutError',
    'CallerDisconnectedError',
    'ClientError',
    'ClientResponse',
    'ConnectionPool',
    'HttpLimits',
    'HttpRequest',
    'HttpServer',
    'Responder',
    'fetch',
    'fetch_json',
    'make_internal_error',
    'open_request',
]
