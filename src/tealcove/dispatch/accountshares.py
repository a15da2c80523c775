"""Interface by which a scheduler shares slots among client accounts."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterable

import msgspec

from tealcove import ids
from tealcove.dispatch import messages

# The weight of an account without a limit.
DEFAULT_WEIGHT = 1.0

# Returns None for an account without a limit.
FindWeight = Callable[[ids.AccountId], float | None]
# Returns the slots that can serve requests at an instant.
CountSlots = Callable[[ids.Instant], float]
# Returns the tickets that wait for a slot.
FindWaiting = Callable[[], Iterable[messages.Ticket]]


class Standing(msgspec.Struct, frozen=True):
    """How an account's use of slots compares with its part of them."""

    # Its use in relation to its part, if it uses more while others need theirs; else 0.
    excess: float = 0.0
    # Seconds until its use is expected to be within its part again.
    seconds: float = 0.0

    @property
    def is_over(self) -> bool:
        """Whether it uses more than its part while others need theirs."""
        return self.excess > 0.0


WITHIN = Standing()


class AccountWeights(abc.ABC):
    """The weights by which client accounts share slots."""

    @abc.abstractmethod
    def weight(self, account: ids.AccountId) -> float:
        """Return the weight of an account; above 0."""


class ConfiguredWeights(AccountWeights):
    """The weights that the configuration in force implies."""

    def __init__(self, find_weight: FindWeight) -> None:
        self.find_weight = find_weight

    def weight(self, account: ids.AccountId) -> float:
        """See AccountWeights."""
        found = self.find_weight(account)
        return DEFAULT_WEIGHT if found is None else found


class AccountShares(abc.ABC):
    """Measures the demand and use of client accounts of one service."""

    @abc.abstractmethod
    def record_arrival(
        self, ticket: messages.Ticket, slot_seconds: float, now: ids.Instant
    ) -> None:
        """Count a new request that will hold a slot for some seconds."""

    @abc.abstractmethod
    def standing(self, ticket: messages.Ticket, now: ids.Instant) -> Standing:
        """Return the standing of a ticket's account in the ticket's tier."""

    @abc.abstractmethod
    def record_start(self, ticket: messages.Ticket) -> None:
        """Count a slot that a ticket holds from now on."""

    @abc.abstractmethod
    def record_release(self, ticket: messages.Ticket) -> None:
        """Stop counting the slot of a ticket, whatever the reason."""

    @abc.abstractmethod
    def use_capacity(self, count_slots: CountSlots) -> None:
        """Set how the slots to be shared are counted."""

    @abc.abstractmethod
    def use_line(self, find_waiting: FindWaiting) -> None:
        """Set where the waiting tickets are found."""


class NoAccountShares(AccountShares):
    """Treats all accounts alike, whatever they use."""

    def record_arrival(
        self, ticket: messages.Ticket, slot_seconds: float, now: ids.Instant
    ) -> None:
        """See AccountShares."""

    def standing(self, ticket: messages.Ticket, now: ids.Instant) -> Standing:
        """See AccountShares."""
        return WITHIN

    def record_start(self, ticket: messages.Ticket) -> None:
        """See AccountShares."""

    def record_release(self, ticket: messages.Ticket) -> None:
        """See AccountShares."""

    def use_capacity(self, count_slots: CountSlots) -> None:
        """See AccountShares."""

    def use_line(self, find_waiting: FindWaiting) -> None:
        """See AccountShares."""
