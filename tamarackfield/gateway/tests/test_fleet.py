"""Choice of targets: shares of connections, silent machines, replaced targets."""

from tamarackfield.core import Application
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.fleet import Fleet, Placement
from tamarackfield.gateway.model import Versions
from tamarackfield.gateway.tests.samples import make_catalog, make_route, make_target
from tamarackfield.wire.grants import EngineReport
from tamarackfield.wire.messages import Holdings


def anything(target):
    """Allow every target."""
    return True


def make_fleet(*records):
    """Return a fleet without links."""
    fleet = Fleet(Application('e'), Directory(), Versions(), lambda: None, 1, 'zone-a')
    fleet.catalog = make_catalog(make_route())
    for record in records:
        fleet.directory.put(record)
    fleet.refresh()
    return fleet


class FakeLink:
    """A link to a sidecar that says what it is told to say."""

    def __init__(self, started_ms, residents, suspect=False, up=True):
        self.report = EngineReport(0, started_ms, True, 8, 0, 0, 4, 0, 250, 500, 3, 0, 40_000)
        self.holdings = Holdings(residents, [])
        self.reported_at = 0.0
        self.suspect = suspect
        self.up = up

    def is_up(self):
        """Tell whether it can grant."""
        return self.up

    def is_machine_suspect(self):
        """Tell whether its machine is silent."""
        return self.suspect


def target_of(fleet, name='t1'):
    """Return a target of a fleet."""
    return fleet.directory.targets[name]


def link(fleet, name, fake):
    """Put a link beside a target."""
    host, _ = target_of(fleet, name).record.address
    fleet.links[host] = fake
    fleet.refresh()


def choose(fleet, adapter, service='models'):
    """Return the name of the target that is chosen, None if there is none."""
    target = fleet.choose(Placement(service, adapter, 1e9), anything)
    return target and target.record.name


def test_entry_opens_no_more_than_its_part_of_the_connections():
    fleet = make_fleet(make_target('t1', address=('127.0.0.1', 1)))
    target = fleet.directory.targets['t1']
    assert target.max_open == 20
    target.view.outstanding = target.max_open
    assert choose(fleet, '', 'plain') is None
    target.view.outstanding -= 1
    assert choose(fleet, '', 'plain') == 't1'


def test_part_of_the_connections_shrinks_with_the_entries_that_are_counted():
    fleet = make_fleet(make_target('t1', 'models', address=('127.0.0.1', 1)))
    link(fleet, 't1', FakeLink(1, ['base']))
    fleet.entries = 10
    fleet.refresh()
    assert target_of(fleet).max_open == 8


def test_holder_is_chosen_without_its_sidecar_but_not_if_its_machine_is_silent():
    record = make_target('t1', 'models', address=('127.0.0.1', 1), holdings=('base', 'base/a1@1'))
    fleet = make_fleet(record)
    assert choose(fleet, 'base/a1') == 't1'
    assert choose(fleet, 'base/a2') is None
    link(fleet, 't1', FakeLink(1, ['base', 'base/a1@1'], suspect=True, up=False))
    assert choose(fleet, 'base/a1') is None


def test_target_whose_sidecar_sees_another_life_is_not_chosen():
    fleet = make_fleet(make_target('t1', 'models', address=('127.0.0.1', 1), holdings=('base', 'base/a1@1')))
    link(fleet, 't1', FakeLink(2, ['base']))
    assert choose(fleet, 'base/a1') is None


def test_older_version_in_place_does_not_count_as_holding():
    fleet = make_fleet(make_target('t1', 'models', address=('127.0.0.1', 1)))
    link(fleet, 't1', FakeLink(1, ['base', 'base/a1@1']))
    assert 'base/a1' in target_of(fleet).view.residents
    fleet.versions.announce('base/a1', 2)
    fleet.refresh()
    assert 'base/a1' not in target_of(fleet).view.residents


def test_count_of_unreported_requests_ends_with_the_reports_of_the_sidecar():
    record = make_target('t1', 'models', address=('127.0.0.1', 1), holdings=('base', 'base/a1@1'))
    fleet = make_fleet(record)
    fake = FakeLink(1, ['base', 'base/a1@1'])
    link(fleet, 't1', fake)
    view = target_of(fleet).view
    view.unreported = 40
    view.unreported_tokens = 20_000
    fake.report = None
    fleet.refresh()
    assert (view.unreported, view.unreported_tokens) == (0, 0)


def test_rings_of_two_services_are_kept_beside_each_other():
    fleet = make_fleet(make_target('t1', 'models', address=('127.0.0.1', 1)), make_target('t2'))
    ring = fleet.ring_of('models')
    assert fleet.ring_of('plain') is not ring
    assert fleet.ring_of('models') is ring
    fleet.directory.put(make_target('t3', 'models', address=('127.0.0.1', 2)))
    assert fleet.ring_of('models') is not ring
