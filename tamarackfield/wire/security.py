"""Mutual TLS between peers, by the standard library, from files named in settings."""

import ssl
from typing import Any

from loguru import logger

#: Value of ``peer_security.mode`` that switches authentication off, in words.
PLAINTEXT = 'plaintext-without-authentication'
#: Value of ``peer_security.mode`` for mutual TLS.
MUTUAL_TLS = 'mutual-tls'
_FILE_SCHEMA = {'type': 'string', 'format': 'readable-file'}

#: Schema of the ``peer_security`` settings.
PEER_SECURITY_SCHEMA = {
    'type': 'object',
    'required': ['mode'],
    'additionalProperties': False,
    'description': 'how peers authenticate each other',
    'properties': {
        'mode': {'enum': [MUTUAL_TLS, PLAINTEXT]},
        'certificate': {**_FILE_SCHEMA, 'description': 'PEM file with this process certificate'},
        'key': {**_FILE_SCHEMA, 'description': 'PEM file with its private key'},
        'authority': {**_FILE_SCHEMA, 'description': 'PEM file with the certificates that sign peers'},
    },
    'if': {'properties': {'mode': {'const': MUTUAL_TLS}}},
    'then': {'required': ['certificate', 'key', 'authority']},
}


class LoggedHandshake(ssl.SSLObject):
    """Server side of a handshake; one that fails is logged, which asyncio leaves out."""

    def do_handshake(self) -> None:
        """Go on with the handshake.

        Raises
        ------
        ssl.SSLError
            If more data is needed or the peer is refused.
        """
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as exc:
            logger.bind(step='handshake', error=exc.reason or repr(exc)).warning('peer_refused')
            raise


def server_context(security: dict[str, Any]) -> ssl.SSLContext | None:
    """Build the context with which peers are accepted.

    Parameters
    ----------
    security : dict
        Checked ``peer_security`` settings.

    Returns
    -------
    ssl.SSLContext or None
        A context that demands a certificate of the peer; None for plaintext.
    """
    if security['mode'] == PLAINTEXT:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.sslobject_class = LoggedHandshake
    return _with_files(context, security)


def client_context(security: dict[str, Any]) -> ssl.SSLContext | None:
    """Build the context with which peers are called.

    Parameters
    ----------
    security : dict
        Checked ``peer_security`` settings.

    Returns
    -------
    ssl.SSLContext or None
        A context that checks the peer's certificate; None for plaintext. Peers are reached by
        IP number and replaced at any time, so a certificate signed by the named authority is
        what identifies a peer, not its address.
    """
    if security['mode'] == PLAINTEXT:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _with_files(context, security)


def _with_files(context: ssl.SSLContext, security: dict[str, Any]) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(security['certificate'], security['key'])
    context.load_verify_locations(security['authority'])
    return context
