"""HTTP/1.1 by h11: server and client tasks."""

from tamarackfield.web.client import ClientError, ClientResponse, fetch, fetch_json, open_request
from tamarackfield.web.server import HttpRequest, HttpServer, Responder

__all__ = [
    'ClientError',
    'ClientResponse',
    'HttpRequest',
    'HttpServer',
    'Responder',
    'fetch',
    'fetch_json',
    'open_request',
]
