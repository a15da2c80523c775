"""The interface of rate limiters for client accounts."""

from __future__ import annotations

import abc
from collections.abc import Callable

from tealcove import errors, ids
from tealcove.limits import allowance, home, presence
from tealcove.membership import members
from tealcove.peers import mesh


class OverLimitError(errors.TealcoveError):
    """The account has exhausted its limit; `retry_after` is in seconds."""

    def __init__(self, account: ids.AccountId, retry_after: float) -> None:
        super().__init__(
            f"The limit of {account} is used up",
            "Send fewer tokens a second, or ask the operator for a higher limit.",
        )
        self.retry_after = retry_after


class Charge:
    """The predicted tokens of one admitted request, until its actual use is known."""

    def __init__(self, held: allowance.Allowance | None, tokens: float) -> None:
        self.allowance = held
        self.tokens = tokens

    def settle(self, tokens: float) -> None:
        """Replace the prediction by the tokens actually used.

        A request that was not run has used 0. Only the first call has an effect, so
        that two code paths that end a request can't both refund its tokens.
        """
        if self.allowance is not None:
            self.allowance.correct(tokens - self.tokens)
            self.allowance = None


class Admission(abc.ABC):
    """Admits requests; accounts without a limit are not charged."""

    def __init__(
        self,
        transport: mesh.Mesh,
        known: members.Members,
        find_limit: home.FindLimit,
        now: ids.Instant,
        count_listed: Callable[[], int] | None = None,
    ) -> None:
        self.transport = transport
        self.members = known
        self.find_limit = find_limit
        self.presence = presence.Presence(known, now, count_listed)

    @abc.abstractmethod
    async def admit(
        self, account: ids.AccountId, tokens: float, request: ids.RequestId
    ) -> Charge:
        """Charge an account, or raise OverLimitError; `request` is for the log."""
