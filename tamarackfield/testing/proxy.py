"""Fault-injecting TCP proxy between two processes, as a process of its own."""

from typing import Any

from tamarackfield.core import Application
from tamarackfield.core.problems import split_address
from tamarackfield.core.settings import ADDRESS_SCHEMA, PEER_SCHEMA
from tamarackfield.testing.relay import Relay, sound
from tamarackfield.testing.standin import Standin, standin_schema

SETTINGS_SCHEMA = standin_schema(
    {
        'proxy': {**ADDRESS_SCHEMA, 'description': 'where the faulty connection is offered'},
        'upstream': PEER_SCHEMA,
        'framed': {'type': 'boolean', 'default': False, 'description': 'carries the peer protocol'},
    }
)


class FaultProxy:
    """A relay whose faults are set on a control page.

    Parameters
    ----------
    settings : dict
        Checked settings.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        """Start passing everything."""
        self.settings = settings
        self.relay = Relay(split_address(settings['upstream']), sound(), settings['framed'])
        self.standin = Standin(settings, self._not_found, self.relay.faults, self.witness)
        self.standin.application.on_start(self.start)

    async def start(self) -> None:
        """Offer the faulty connection."""
        address = self.settings['proxy']
        await self.relay.listen(address['host'], address['port'])

    def witness(self) -> dict[str, Any]:
        """Apply a cut at once and return counts."""
        relay = self.relay
        if relay.faults['mode'] == 'cut':
            relay.cut()
        return {'accepted': relay.accepted, 'open': len(relay.connections), 'passed': relay.passed}

    async def _not_found(self, request: Any, responder: Any) -> None:
        await responder.send_json(404, {})


def build(settings: dict[str, Any]) -> Application:
    """Build the application of a fault-injecting proxy."""
    return FaultProxy(settings).standin.application
