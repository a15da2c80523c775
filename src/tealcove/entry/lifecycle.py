"""The states of a request at its entry, and the transitions between them."""

from __future__ import annotations

import enum

import transitions


class State(enum.Enum):
    """The state of a request at its entry."""

    ACCEPTED = "accepted"
    # In a dispatcher's queue, or between a grant and the connection.
    WAITING = "waiting"
    # Non-idempotent, and its claim is in the platform's table.
    CLAIMED = "claimed"
    # Set just before the first byte is written to a backend server; irrevocable.
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    INTERRUPTED = "interrupted"
    UNKNOWN = "unknown"


# States in which nothing has been written to any backend server.
UNSENT = (State.ACCEPTED, State.WAITING, State.CLAIMED)


class Lifecycle:
    """The state of one request; a transition that isn't allowed raises MachineError.

    No transition leads from `dispatched` to `not_run` or back to `waiting`. To
    answer "not run" or to dispatch again, once a backend server may have received
    the request, would break the two guarantees that callers rely on. A
    non-idempotent request uses `dispatch_claimed`, which only a claim allows.
    """

    state: State

    def __init__(self) -> None:
        # The machine is passed the object at each transition and doesn't hold it.
        # Adding it to the machine, which binds some twenty functions to it, and
        # removing it from the list of all objects took half of a request's whole cost.
        self.state = State.ACCEPTED

    def wait(self) -> None:
        """Wait for a slot."""
        MACHINE.events["wait"].trigger(self)

    def claim(self) -> None:
        """Record that the claim is in the table."""
        MACHINE.events["claim"].trigger(self)

    def dispatch(self) -> None:
        """Mark an idempotent request as dispatched."""
        MACHINE.events["dispatch"].trigger(self)

    def dispatch_claimed(self) -> None:
        """Mark a claimed, non-idempotent request as dispatched."""
        MACHINE.events["dispatch_claimed"].trigger(self)

    def complete(self) -> None:
        """End with a complete answer."""
        MACHINE.events["complete"].trigger(self)

    def give_up(self) -> None:
        """End without having run."""
        MACHINE.events["give_up"].trigger(self)

    def interrupt(self) -> None:
        """End a dispatched idempotent request without a complete answer."""
        MACHINE.events["interrupt"].trigger(self)

    def lose(self) -> None:
        """End a dispatched non-idempotent request whose outcome is unknown."""
        MACHINE.events["lose"].trigger(self)


def transition(
    trigger: str, sources: tuple[State, ...], to: State
) -> dict[str, object]:
    """Return a transition in the format of `transitions.Machine`."""
    return {"trigger": trigger, "source": list(sources), "dest": to}


MACHINE = transitions.Machine(
    model=None,
    states=State,
    initial=State.ACCEPTED,
    auto_transitions=False,
    transitions=[
        transition("wait", UNSENT, State.WAITING),
        transition("claim", (State.WAITING,), State.CLAIMED),
        transition("dispatch", (State.WAITING,), State.DISPATCHED),
        transition("dispatch_claimed", (State.CLAIMED,), State.DISPATCHED),
        transition("complete", (State.DISPATCHED,), State.COMPLETED),
        transition("give_up", UNSENT, State.NOT_RUN),
        transition("interrupt", (State.DISPATCHED,), State.INTERRUPTED),
        transition("lose", (State.DISPATCHED,), State.UNKNOWN),
    ],
)
