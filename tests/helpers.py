"""A small dispatcher for tests, and short functions to build its input and to read its steps."""
from threadshift.choice import Dispatcher
from threadshift.interface import MS, SECOND, Deployment, Action, Effect, WorkerListing, NamespaceType, WorkerState

TYPES = tuple(NamespaceType(effect.value, 600 * MS, 2500 * MS, 1.0, 0.3, effect, "zone", 2 * SECOND)
              for effect in Effect)


def deployment(**changes):
    settings = dict(types=TYPES, front_ends=3, tick=4 * MS, max_sends=4, may_cancel=True, may_order_loads=True,
                   max_retry_after=SECOND, idle_keep_alive=10 * SECOND, drain_grace=SECOND, cold_share=0.2,
                   cold_time=10 * SECOND, fall_multiple=2.0, fall_time=SECOND)
    return Deployment(**settings | changes)


def front_end(workers=4, seed=1, now=0, since=0, **changes):
    """A dispatcher with so many ready workers."""
    dispatcher = Dispatcher(seed, deployment(**changes), now)
    dispatcher.update_workers(now, [listing(f"w{n}", started_at=since) for n in range(workers)], full=True)
    return dispatcher


def listing(worker, state=WorkerState.READY, **facts):
    return WorkerListing(worker, state, **facts)


def call(dispatcher, id_="a", now=0, function="f", effect=Effect.REPEATABLE, left=2500 * MS, **facts):
    """Starts an activation; returns its handle and the first steps."""
    activation = dispatcher.admit(now, id_, effect.value, function, left, **facts)
    return activation, activation.start(now)


def sent_to(steps):
    """The workers to which these steps send."""
    return [step.worker for step in steps if step.action is Action.SEND]


def actions(steps):
    return [step.action for step in steps]
