"""The states of a request at its entry, and the steps between them."""

from __future__ import annotations

import enum

import transitions


class State(enum.Enum):
    """How far a request has come."""

    ACCEPTED = "accepted"
    # In a dispatcher's queue, or between a grant and the connection.
    WAITING = "waiting"
    # Non-idempotent, and its claim is in the platform's table.
    CLAIMED = "claimed"
    # From just before the first byte is written to a backend server, for good.
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    INTERRUPTED = "interrupted"
    UNKNOWN = "unknown"


# Nothing was written to any backend server yet.
UNSENT = (State.ACCEPTED, State.WAITING, State.CLAIMED)


class Lifecycle:
    """The state of one request; a step that isn't allowed raises MachineError.

    No step leads from `dispatched` to `not_run` or back to `waiting`: a request
    that was told "not run", or dispatched a second time, after a backend server
    may have seen it would break the two promises that callers build on. A
    non-idempotent request takes `dispatch_claimed`, which only a claim allows.
    """

    state: State

    def __init__(self) -> None:
        # The machine gets the object at each step and doesn't keep it. To add it to
        # the machine, which binds some twenty functions to it, and to take it out of
        # the list of all others took half of what the whole life of a request cost.
        self.state = State.ACCEPTED

    def wait(self) -> None:
        """Begin to wait for a slot."""
        MACHINE.events["wait"].trigger(self)

    def claim(self) -> None:
        """Note that the claim is in the table."""
        MACHINE.events["claim"].trigger(self)

    def dispatch(self) -> None:
        """Go to a backend server, for good."""
        MACHINE.events["dispatch"].trigger(self)

    def dispatch_claimed(self) -> None:
        """Go to a backend server under a claim, for good."""
        MACHINE.events["dispatch_claimed"].trigger(self)

    def complete(self) -> None:
        """End with a whole answer."""
        MACHINE.events["complete"].trigger(self)

    def give_up(self) -> None:
        """End without having run."""
        MACHINE.events["give_up"].trigger(self)

    def interrupt(self) -> None:
        """End in the middle of an idempotent request's run."""
        MACHINE.events["interrupt"].trigger(self)

    def lose(self) -> None:
        """End in the middle of a non-idempotent request's run."""
        MACHINE.events["lose"].trigger(self)


def step(trigger: str, sources: tuple[State, ...], to: State) -> dict[str, object]:
    """Return a transition in the form that the machine takes."""
    return {"trigger": trigger, "source": list(sources), "dest": to}


MACHINE = transitions.Machine(
    model=None,
    states=State,
    initial=State.ACCEPTED,
    auto_transitions=False,
    transitions=[
        step("wait", UNSENT, State.WAITING),
        step("claim", (State.WAITING,), State.CLAIMED),
        step("dispatch", (State.WAITING,), State.DISPATCHED),
        step("dispatch_claimed", (State.CLAIMED,), State.DISPATCHED),
        step("complete", (State.DISPATCHED,), State.COMPLETED),
        step("give_up", UNSENT, State.NOT_RUN),
        step("interrupt", (State.DISPATCHED,), State.INTERRUPTED),
        step("lose", (State.DISPATCHED,), State.UNKNOWN),
    ],
)
