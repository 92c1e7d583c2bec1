"""Program that runs a fault-injecting TCP proxy between two processes."""

from typing import Any

from tamarackfield.core import Application
from tamarackfield.core.problems import split_address
from tamarackfield.core.settings import ADDRESS_SCHEMA, PEER_SCHEMA
from tamarackfield.testing.relay import Relay, no_faults
from tamarackfield.testing.standin import Standin, standin_schema

SETTINGS_SCHEMA = standin_schema(
    {
        'proxy': {**ADDRESS_SCHEMA, 'description': 'address on which the proxy accepts connections'},
        'upstream': PEER_SCHEMA,
        'framed': {'type': 'boolean', 'default': False, 'description': 'whether connections carry the peer protocol'},
    }
)


class FaultProxy:
    """Relay whose faults are set on a control page.

    Parameters
    ----------
    settings : dict
        Validated settings of the process.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create a proxy without faults."""
        self.settings = settings
        self.relay = Relay(split_address(settings['upstream']), no_faults(), settings['framed'])
        self.standin = Standin(settings, self._not_found, self.relay.faults, self.read_counts)
        self.standin.application.on_start(self.start)

    async def start(self) -> None:
        """Accept connections."""
        address = self.settings['proxy']
        await self.relay.listen(address['host'], address['port'])

    def read_counts(self) -> dict[str, Any]:
        """Close all connections in mode ``cut``, and return connection and byte counts."""
        relay = self.relay
        if relay.faults['mode'] == 'cut':
            relay.cut_connections()
        return {'accepted': relay.accepted, 'open': len(relay.connections), 'passed': relay.forwarded_bytes}

    async def _not_found(self, request: Any, responder: Any) -> None:
        await responder.send_json(404, {})


def build(settings: dict[str, Any]) -> Application:
    """Return the application of a fault-injecting proxy."""
    return FaultProxy(settings).standin.application
