"""Guards against periodic calls that end with an exception or go on after the stop."""

from twisted.internet.task import Clock


def make_tasks():
    from skylarkmoor_process.tasks import Tasks

    clock = Clock()
    return Tasks(clock), clock


def test_callback_sets_the_delay_of_its_next_call():
    tasks, clock = make_tasks()
    calls, delays = [], iter([100, 25, 25, 25, 25])

    def call():
        calls.append(round(clock.seconds() * 1_000))
        return next(delays)

    tasks.reschedule(25, call)
    clock.pump([0.025] * 8)
    assert calls == [25, 125, 150, 175, 200]


def test_exception_does_not_end_the_calls():
    tasks, clock = make_tasks()
    calls = []

    def fail():
        calls.append(clock.seconds())
        raise RuntimeError("broken")

    tasks.reschedule(50, fail)
    clock.pump([0.05] * 3)
    assert len(calls) == 3


def test_no_call_comes_after_the_stop():
    tasks, clock = make_tasks()
    calls = []
    tasks.reschedule(50, lambda: calls.append(1) or 50)
    clock.advance(0.05)
    tasks.stop()
    clock.advance(1)
    assert calls == [1]
    assert not clock.getDelayedCalls()
