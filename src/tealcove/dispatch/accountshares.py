"""Interface by which a scheduler shares slots among client accounts."""

from __future__ import annotations

import abc

import msgspec

from tealcove import ids
from tealcove.dispatch import messages


class Standing(msgspec.Struct, frozen=True):
    """How an account's use of slots compares with its part of them."""

    # Whether it uses more than its part while others need theirs.
    is_over: bool = False
    # Seconds until its use is expected to be within its part again.
    seconds: float = 0.0


WITHIN = Standing()


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


class NoAccountShares(AccountShares):
    """Treats all accounts alike, whatever they use."""

    def record_arrival(
        self, ticket: messages.Ticket, slot_seconds: float, now: ids.Instant
    ) -> None:
        """See AccountShares."""

    def standing(self, ticket: messages.Ticket, now: ids.Instant) -> Standing:
        """See AccountShares."""
        return WITHIN
