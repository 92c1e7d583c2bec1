"""Decisions of admission control, each with the load pattern that requires it."""

from tamarackfield.manager.admission import AdmissionController
from tamarackfield.manager.tickets import Ticket
from tamarackfield.policy.residency import LoadOrder


def make_admission(batch=4, slots=4):
    """Return the admission control of an engine with a base model and no adapters."""
    admission = AdmissionController(batch, slots)
    admission.update_engine_state(('m',), {}, (), 100.0)
    return admission


def enqueue(  # noqa: WPS211 the properties of a request
    admission,
    number,
    adapter='m/a',
    enqueued_at=100.0,
    remaining_seconds=10.0,
    priority=0,
    start_within_seconds=0.8,
    **properties,
):
    """Queue a request."""
    admission.enqueue(
        Ticket(
            (1, number),
            adapter,
            0,
            priority,
            enqueued_at,
            enqueued_at + remaining_seconds,
            enqueued_at + start_within_seconds,
            **properties,
        )
    )


def test_adapter_of_a_single_request_does_not_delay_one_that_many_requests_need():
    admission = make_admission()
    enqueue(admission, 1, 'm/rare', enqueued_at=99.9)
    for number in range(2, 8):
        enqueue(admission, number, 'm/crowd')
    assert admission.make_plan(100.0).orders == [LoadOrder('m/crowd', 0)]


def test_single_request_does_not_starve_behind_a_popular_adapter():
    admission = make_admission()
    enqueue(admission, 1, 'm/rare', enqueued_at=95.0, remaining_seconds=60.0, start_within_seconds=30)
    for number in range(2, 30):
        enqueue(admission, number, 'm/crowd')
    assert admission.make_plan(100.0).orders == [LoadOrder('m/rare', 0)]


def test_urgent_request_gets_the_last_batch_slot():
    admission = make_admission(batch=1)
    enqueue(admission, 1, 'm', priority=2)
    enqueue(admission, 2, 'm', priority=0, enqueued_at=100.1)
    assert [ticket.key for ticket in admission.make_plan(100.1).grants] == [(1, 2)]


def test_request_that_cannot_start_in_time_is_declined_at_once_with_a_retry_delay():
    admission = make_admission(batch=2)
    admission.service_seconds = 4.0
    for number in range(2):
        enqueue(admission, number, 'm', remaining_seconds=60.0)
    admission.make_plan(100.0)
    enqueue(admission, 9, 'm', remaining_seconds=1.0)
    declines = admission.make_plan(100.0).declines
    assert [(decline.ticket.key, decline.code) for decline in declines] == [((1, 9), 'too_late')]
    assert declines[0].retry_seconds == 2


def test_no_request_is_declined_while_batch_slots_are_free():
    admission = make_admission(batch=8)
    for number in range(8):
        enqueue(admission, number, 'm', remaining_seconds=0.5)
    plan = admission.make_plan(100.0)
    assert len(plan.grants) == 8
    assert plan.declines == []


def test_restarted_manager_does_not_overfill_the_batch():
    admission = make_admission(batch=2)
    admission.engine_request_count = 2
    enqueue(admission, 1, 'm')
    assert admission.make_plan(100.0).grants == []


def test_draining_or_unreachable_engine_gets_no_requests():
    admission = make_admission()
    enqueue(admission, 1, 'm')
    admission.draining = True
    assert [decline.code for decline in admission.make_plan(100.0).declines] == ['target_leaving']
    enqueue(admission, 2, 'm')
    admission.reachable = False
    assert [decline.code for decline in admission.make_plan(100.0).declines] == ['target_away']


def test_request_that_is_queued_again_with_a_newer_version_keeps_its_place():
    admission = make_admission(batch=1)
    admission.update_engine_state(('m',), {'m/a': 1, 'm/b': 1}, (), 100.0)
    admission.engine_request_count = 1
    enqueue(admission, 1, 'm/a', enqueued_at=99.0, start_within_seconds=5)
    enqueue(admission, 2, 'm/b', enqueued_at=99.5, start_within_seconds=5)
    admission.enqueue(Ticket((1, 1), 'm/a', 2, 0, 100.0, 105.0, 101.0))
    assert admission.make_plan(100.0).orders == [LoadOrder('m/a', 2)]
    admission.record_order_result(LoadOrder('m/a', 2), accepted=True, now=100.0)
    admission.update_engine_state(('m',), {'m/a': 2, 'm/b': 1}, (), 100.1)
    admission.engine_request_count = 0
    assert [ticket.key for ticket in admission.make_plan(100.1).grants] == [(1, 1)]
    # A version that is raised when the grant is on its way must not queue the request once more.
    admission.enqueue(Ticket((1, 1), 'm/a', 3, 0, 100.2, 105.0, 101.0))
    assert (1, 1) not in admission.waiting


def replay_burst(start_within_seconds):
    """Return the fractions of requests served in time and served at all in a burst that needs too many loads.

    120 requests for as many adapters arrive over 4 seconds; the engine loads 16 adapters a second.
    """
    admission = make_admission(batch=100, slots=1000)
    resident = {}
    loading = {}
    in_time = 0
    served = 0
    for step in range(800):
        now = 100 + step * 0.01
        if step < 400 and step % 10 < 3:
            enqueue(
                admission,
                1000 + step,
                f'm/a{step}',
                enqueued_at=now,
                remaining_seconds=6.0,
                start_within_seconds=start_within_seconds,
            )
        done = [adapter for adapter, ready_at in loading.items() if ready_at <= now]
        resident |= {adapter: 1 for adapter in done}
        for adapter in done:
            loading.pop(adapter)
        admission.update_engine_state(('m',), resident, loading, now)
        plan = admission.make_plan(now)
        for ticket in plan.grants:
            served += 1
            in_time += now <= ticket.enqueued_at + 0.8
        for order in plan.orders:
            loading[order.adapter] = now + 0.25
            admission.record_order_result(order, accepted=True, now=now)
    return in_time / 120, served / 120


def test_burst_does_not_make_every_request_late():
    in_time, served = replay_burst(start_within_seconds=0.8)
    # With a distant start time, no request counts as late, and the queue is ordered by age.
    in_time_by_age, served_by_age = replay_burst(start_within_seconds=1000)
    assert 5 * in_time > 2
    assert in_time > 2 * in_time_by_age
    assert 10 * served > 9 * served_by_age


def test_burst_of_prompts_is_not_dispatched_faster_than_it_is_prefilled():
    admission = make_admission(batch=100)
    for number in range(20):
        admission.enqueue(Ticket((1, number), 'm', 0, 0, 100.0, 110.0, 101.0, tokens=1500))
    now = 100.0
    largest = 0
    granted = 0
    while granted < 20:
        plan = admission.make_plan(now)
        granted += len(plan.grants)
        largest = max(largest, sum(prompt.tokens for prompt in admission.prefill.in_flight.values()))
        now += 0.04
        admission.record_first_event(next(iter(admission.prefill.in_flight)), now)
    assert largest <= 4500


def test_refused_adapter_load_is_not_ordered_again_at_once():
    admission = make_admission()
    admission.record_load_refusal('m/a', 0, 102.0)
    enqueue(admission, 1, 'm/a')
    declines = admission.make_plan(100.0).declines
    assert [(decline.code, decline.retry_seconds) for decline in declines] == [('no_such_adapter', 2)]
    enqueue(admission, 2, 'm/a', enqueued_at=102.0)
    assert admission.make_plan(102.0).orders == [LoadOrder('m/a', 0)]


def test_refused_adapter_load_does_not_delay_a_newer_version():
    admission = make_admission()
    admission.record_load_refusal('m/a', 1, 102.0)
    admission.enqueue(Ticket((1, 1), 'm/a', 2, 0, 100.0, 110.0, 101.0))
    assert admission.make_plan(100.0).orders == [LoadOrder('m/a', 2)]


def test_load_time_is_measured_until_the_adapter_is_resident():
    admission = make_admission()
    for number in range(60):
        now = 100.0 + number
        enqueue(admission, number, f'm/{number}', enqueued_at=now)
        order = admission.make_plan(now).orders[0]
        admission.record_order_result(order, accepted=True, now=now)
        admission.update_engine_state(('m',), {f'm/{number}': 0}, (), now + 0.8)
        admission.make_plan(now + 0.8)
        admission.release((1, number), now + 0.9)
    assert round(admission.load_seconds * 10) == 8


def test_request_is_redirected_while_another_target_could_start_it_in_time():
    admission = make_admission(batch=2)
    admission.service_seconds = 4.0
    for number in range(2):
        enqueue(admission, number, 'm', remaining_seconds=60.0)
    admission.make_plan(100.0)
    for number, redirectable in ((2, True), (3, False)):
        enqueue(admission, number, 'm', remaining_seconds=60.0, redirectable=redirectable)
    declines = admission.make_plan(100.0).declines
    assert [(decline.ticket.key, decline.code) for decline in declines] == [((1, 2), 'busy')]
    assert list(admission.waiting) == [(1, 3)]


def test_request_is_not_redirected_once_its_adapter_could_not_be_loaded_elsewhere_in_time():
    admission = make_admission(batch=1)
    admission.service_seconds = 4.0
    enqueue(admission, 1, 'm', remaining_seconds=60.0)
    admission.make_plan(100.0)
    enqueue(admission, 2, 'm', remaining_seconds=60.0, start_within_seconds=0.1, redirectable=True)
    assert admission.make_plan(100.0).declines == []


def test_request_is_redirected_from_an_engine_that_has_many_prompts_to_prefill():
    admission = make_admission(batch=60)
    admission.prefill.token_seconds = 0.001
    for number in range(30):
        enqueue(admission, number, 'm', remaining_seconds=60.0, tokens=100, start_within_seconds=9.0)
    enqueue(admission, 99, 'm', remaining_seconds=60.0, tokens=100, redirectable=True)
    declines = admission.make_plan(100.0).declines
    assert [(decline.ticket.key, decline.code) for decline in declines] == [((1, 99), 'busy')]


def test_reloads_from_memory_do_not_make_loads_from_the_weight_store_look_short():
    admission = make_admission(slots=1)
    before = admission.load_seconds
    for number in range(20):
        order = LoadOrder(f'm/a{number}', 0)
        admission.record_order_result(order, accepted=True, now=100.0 + number)
        admission.update_engine_state(('m',), {order.adapter: 1}, (), 100.04 + number)
    assert admission.load_seconds == before
    admission.record_order_result(LoadOrder('m/slow', 0), accepted=True, now=200.0)
    admission.update_engine_state(('m',), {'m/slow': 1}, (), 200.8)
    assert admission.load_seconds > before
