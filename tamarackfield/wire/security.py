"""Mutual TLS between peers with the ``ssl`` module, from certificate files named in settings."""

import ssl
from typing import Any

from loguru import logger

#: Value of ``peer_security.mode`` that disables authentication; the value spells this out.
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
        'certificate': {**_FILE_SCHEMA, 'description': 'PEM file with the certificate of this process'},
        'key': {**_FILE_SCHEMA, 'description': 'PEM file with the private key of this process'},
        'authority': {
            **_FILE_SCHEMA,
            'description': 'PEM file with the CA certificates that sign the certificates of peers',
        },
    },
    'if': {'properties': {'mode': {'const': MUTUAL_TLS}}},
    'then': {'required': ['certificate', 'key', 'authority']},
}


class LoggingHandshake(ssl.SSLObject):
    """Server side of a TLS handshake; logs a failed handshake, because asyncio does not."""

    def do_handshake(self) -> None:
        """Continue the handshake.

        Raises
        ------
        ssl.SSLError
            If more data is needed, or the peer is refused.
        """
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as exc:
            logger.bind(step='handshake', error=exc.reason or repr(exc)).warning('peer_refused')
            raise


def server_context(security: dict[str, Any]) -> ssl.SSLContext | None:
    """Create the context for accepting connections from peers.

    Parameters
    ----------
    security : dict
        Checked ``peer_security`` settings.

    Returns
    -------
    ssl.SSLContext or None
        Context that requires a certificate of the peer; None for plaintext.
    """
    if security['mode'] == PLAINTEXT:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.sslobject_class = LoggingHandshake
    return _load_certificates(context, security)


def client_context(security: dict[str, Any]) -> ssl.SSLContext | None:
    """Create the context for connecting to peers.

    Parameters
    ----------
    security : dict
        Checked ``peer_security`` settings.

    Returns
    -------
    ssl.SSLContext or None
        Context that verifies the certificate of the peer; None for plaintext. The host name is not checked:
        peers are addressed by IP address and replaced at any time, so a peer is identified by a certificate
        that the configured authority signed.
    """
    if security['mode'] == PLAINTEXT:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load_certificates(context, security)


def _load_certificates(context: ssl.SSLContext, security: dict[str, Any]) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(security['certificate'], security['key'])
    context.load_verify_locations(security['authority'])
    return context
