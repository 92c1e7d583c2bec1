"""Choice of targets: connection limits, unreachable machines, replaced targets."""

from collections import UserDict

from tamarackfield.core import Application
from tamarackfield.gateway.directory import Directory
from tamarackfield.gateway.fleet import Fleet, PlacementRequest
from tamarackfield.gateway.model import Versions
from tamarackfield.gateway.tests.samples import make_call, make_catalog, make_route, make_target_record
from tamarackfield.policy.crashes import Crash
from tamarackfield.wire.messages import Holdings
from tamarackfield.wire.reservations import EngineReport


def allow_all(target):
    """Allow every target."""
    return True


def make_fleet(*records):
    """Return a fleet without links."""
    fleet = Fleet(Application('e'), Directory(), Versions(), lambda: None, 1, 'zone-a')
    fleet.catalog = make_catalog(make_route())
    for record in records:
        fleet.directory.upsert(record)
    fleet.refresh_views()
    return fleet


class FakeLink:
    """Link to a sidecar with a fixed report."""

    def __init__(self, started_ms, residents, suspect=False, up=True):
        self.report = EngineReport(0, started_ms, True, 8, 0, 0, 4, 0, 250, 500, 3, 0, 40_000, leaving=False)
        self.holdings = Holdings(residents, [])
        self.reported_at = 0.0
        self.suspect = suspect
        self.up = up

    def is_up(self):
        """Return whether the sidecar can grant requests."""
        return self.up

    def is_machine_suspect(self):
        """Return whether the machine does not respond."""
        return self.suspect


def target_of(fleet, name='t1'):
    """Return a target of a fleet."""
    return fleet.directory.targets[name]


def attach_link(fleet, name, fake):
    """Attach a link to the sidecar of a target."""
    host, _ = target_of(fleet, name).record.address
    fleet.links[host] = fake
    fleet.refresh_views()


def choose(fleet, adapter, service='models'):
    """Return the name of the chosen target, None if there is none."""
    target = fleet.choose_target(PlacementRequest(service, adapter, 1e9), allow_all)
    return target and target.record.name


def test_entry_does_not_exceed_its_share_of_connections():
    fleet = make_fleet(make_target_record('t1', address=('127.0.0.1', 1)))
    target = fleet.directory.targets['t1']
    assert target.max_connections == 20
    target.view.outstanding = target.max_connections
    assert choose(fleet, '', 'plain') is None
    target.view.outstanding -= 1
    assert choose(fleet, '', 'plain') == 't1'


def test_share_of_connections_shrinks_with_number_of_entries():
    fleet = make_fleet(make_target_record('t1', 'models', address=('127.0.0.1', 1)))
    attach_link(fleet, 't1', FakeLink(1, ['base']))
    fleet.entries = 10
    fleet.refresh_views()
    assert target_of(fleet).max_connections == 8


def test_target_with_resident_adapter_is_chosen_without_sidecar_unless_its_machine_is_unreachable():
    record = make_target_record('t1', 'models', address=('127.0.0.1', 1), holdings=('base', 'base/a1@1'))
    fleet = make_fleet(record)
    assert choose(fleet, 'base/a1') == 't1'
    assert choose(fleet, 'base/a2') is None
    attach_link(fleet, 't1', FakeLink(1, ['base', 'base/a1@1'], suspect=True, up=False))
    assert choose(fleet, 'base/a1') is None


def test_target_is_not_chosen_if_its_sidecar_reports_another_incarnation():
    fleet = make_fleet(make_target_record('t1', 'models', address=('127.0.0.1', 1), holdings=('base', 'base/a1@1')))
    attach_link(fleet, 't1', FakeLink(2, ['base']))
    assert choose(fleet, 'base/a1') is None


def test_older_version_of_adapter_does_not_count_as_resident():
    fleet = make_fleet(make_target_record('t1', 'models', address=('127.0.0.1', 1)))
    attach_link(fleet, 't1', FakeLink(1, ['base', 'base/a1@1']))
    assert 'base/a1' in target_of(fleet).view.residents
    fleet.versions.record_version('base/a1', 2)
    fleet.refresh_views()
    assert 'base/a1' not in target_of(fleet).view.residents


def test_unreported_requests_are_reset_when_sidecar_reports_stop():
    record = make_target_record('t1', 'models', address=('127.0.0.1', 1), holdings=('base', 'base/a1@1'))
    fleet = make_fleet(record)
    fake = FakeLink(1, ['base', 'base/a1@1'])
    attach_link(fleet, 't1', fake)
    view = target_of(fleet).view
    view.unreported = 40
    view.unreported_tokens = 20_000
    fake.report = None
    fleet.refresh_views()
    assert (view.unreported, view.unreported_tokens) == (0, 0)


def test_rings_of_two_services_do_not_evict_each_other():
    fleet = make_fleet(make_target_record('t1', 'models', address=('127.0.0.1', 1)), make_target_record('t2'))
    ring = fleet.ring_of('models')
    assert fleet.ring_of('plain') is not ring
    assert fleet.ring_of('models') is ring
    fleet.directory.upsert(make_target_record('t3', 'models', address=('127.0.0.1', 2)))
    assert fleet.ring_of('models') is not ring


class UncountableTargets(UserDict):
    """Targets that must not be walked through."""

    def values(self):
        """Fail."""
        raise AssertionError('all targets are visited for one of them or of one service')


def test_report_of_one_target_visits_no_other_target():
    records = [
        make_target_record(f't{number}', 'models', address=(f'127.0.0.{number}', 1), started_ms=number)
        for number in range(1, 5)
    ]
    fleet = make_fleet(*records)
    attach_link(fleet, 't3', FakeLink(3, ['base', 'base/a1@1']))
    fleet.directory.targets = UncountableTargets(fleet.directory.targets)
    fleet.links['127.0.0.3'].holdings = Holdings(['base', 'base/a2@1'], ['base/a5'])
    fleet._refresh_host('127.0.0.3')
    assert target_of(fleet, 't3').view.residents == {'base', 'base/a2'}
    assert target_of(fleet, 't3').view.loading == {'base/a5'}
    assert list(target_of(fleet, 't3').view.recent) == ['base/a1']


def test_newer_version_of_an_adapter_takes_effect_without_new_holdings():
    fleet = make_fleet(make_target_record('t1', 'models', address=('127.0.0.1', 1), started_ms=1))
    attach_link(fleet, 't1', FakeLink(1, ['base', 'base/a1@1']))
    assert 'base/a1' in target_of(fleet).view.residents
    fleet.versions.record_version('base/a1', 2)
    fleet._refresh_host('127.0.0.1')
    assert 'base/a1' not in target_of(fleet).view.residents


def test_requests_with_the_same_suspected_part_go_to_one_target():
    records = [make_target_record(f't{number}', 'models', address=(f'127.0.0.{number}', 1)) for number in range(1, 7)]
    entries = [make_fleet(*records) for _ in range(3)]
    chosen = set()
    for entry in entries:
        for number in range(1, 7):
            attach_link(entry, f't{number}', FakeLink(1, ['base']))
        for number in range(20):
            entry.quarantine.evidence.record_request(('a', f'b{number}'))
        entry.quarantine.evidence.record_crash(Crash('t9', 1, 0, unwritten=frozenset(('a', 'b1'))), 0.0)
        request = PlacementRequest('models', 'base', 1e9, call=make_call(prompt_parts=('a', 'b1')))
        chosen.update(entry.choose_target(request, allow_all).record.name for _ in range(20))
    assert len(chosen) == 1
    request = PlacementRequest('models', 'base', 1e9, call=make_call(prompt_parts=('a', 'b2')))
    assert len({entries[0].choose_target(request, allow_all).record.name for _ in range(40)}) > 1


def test_choice_visits_no_target_of_another_service():
    fleet = make_fleet(make_target_record('t1'), make_target_record('t2', 'models', address=('127.0.0.2', 1)))
    attach_link(fleet, 't2', FakeLink(1, ['base', 'base/a1@1']))
    fleet.directory.targets = UncountableTargets(fleet.directory.targets)
    assert choose(fleet, 'base/a1') == 't2'
    assert choose(fleet, '', 'plain') == 't1'


def test_earlier_target_is_not_used_once_a_later_one_has_its_address():
    fleet = make_fleet(make_target_record('old', 'plain', started_ms=5))
    fleet.directory.upsert(make_target_record('new', 'plain', started_ms=9))
    fleet.directory.upsert(make_target_record('old', 'plain', started_ms=5))
    placement = PlacementRequest('plain', '', 1.0)
    chosen = {fleet.choose_target(placement, allow_all).record.name for _ in range(20)}
    assert chosen == {'new'}
    later = fleet.choose_target(placement, lambda target: target.record.name == 'old')
    assert later.record.name == 'old'
