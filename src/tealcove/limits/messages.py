"""Messages between entries and the home instances of client accounts.

All amounts are cumulative, in tokens since the entry opened the account, so that the
next message makes up for a lost one.
"""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.peers import message


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """An entry's use of one account."""

    account: ids.AccountId
    # The entry's clock when it opened the account; a change means a new count.
    opened: ids.Instant
    # Admitted: the prediction or, once known, the actual number.
    spent: float
    # Requested, including refused requests.
    wanted: float
    # Returned to the home unused.
    returned: float
    # The home that lent last, by incarnation; empty: none yet.
    lender: str
    # Lent by that home, including the tokens accrued up to now.
    lent: float
    # The entry's share in tokens a second.
    rate: float
    # Whether the entry closes the account.
    closing: bool


class UsageReport(message.Message):
    """An entry's use of all accounts that have one home."""

    usages: tuple[Usage, ...]


class Share(msgspec.Struct, frozen=True, array_like=True):
    """What a home lends an entry: the total so far, and the rate a second."""

    account: ids.AccountId
    lent: float
    rate: float


class Lending(message.Message):
    """The answer to a report."""

    lender: str
    shares: tuple[Share, ...]


class AskCharge(message.Message):
    """Asks an account's home to admit a request."""

    number: int
    account: ids.AccountId
    tokens: float
    # For the home's log, which says why a request was refused.
    request: ids.RequestId = ids.RequestId("")


class Charged(message.Message):
    """The home's answer; 0 seconds means that the request is admitted."""

    number: int
    retry_after: float


class GiveBack(message.Message):
    """Refunds tokens that were charged and not used to an account's home."""

    account: ids.AccountId
    tokens: float
