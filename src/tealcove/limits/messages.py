"""Messages between entries and the home instances of client accounts.

All amounts are tokens counted since the entry began to use the account, so that
a lost message is made up for by the next one.
"""

from __future__ import annotations

import msgspec

from tealcove import ids
from tealcove.peers import message


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """An entry's use of one account."""

    account: ids.AccountId
    # The entry's clock when it began to use the account; tells a fresh count.
    opened: ids.Instant
    # Admitted, by prediction or, once it's known, as it was.
    spent: float
    # Asked for, the refused ones included.
    wanted: float
    # Given back to the home unused.
    returned: float
    # The home whose lending the entry knows; empty: none yet.
    lender: str
    # What that home has lent, with the share's growth up to now.
    lent: float
    # The entry's share in tokens a second.
    rate: float
    # The entry has no more use for the account.
    closing: bool


class UsageReport(message.Message):
    """An entry's use of all accounts that have one home."""

    usages: tuple[Usage, ...]


class Share(msgspec.Struct, frozen=True, array_like=True):
    """What a home lends an entry: tokens in all so far, and a second."""

    account: ids.AccountId
    lent: float
    rate: float


class Lending(message.Message):
    """The answer to a report."""

    lender: str
    shares: tuple[Share, ...]


class AskCharge(message.Message):
    """Asks an account's home to let a request pass."""

    number: int
    account: ids.AccountId
    tokens: float
    # For the home's log, which tells why a request was refused.
    request: ids.RequestId = ids.RequestId("")


class Charged(message.Message):
    """The home's answer; 0 seconds: the request may pass."""

    number: int
    retry_after: float


class GiveBack(message.Message):
    """Tells an account's home of tokens that were charged and not used."""

    account: ids.AccountId
    tokens: float
