"""Weights of accounts as ordered by operators; a newer order replaces an older one."""

from __future__ import annotations

import hashlib

import logbook
import msgspec

from tealcove import errors, ids
from tealcove.quarantine import ledger
from tealcove.resources import kinds
from tealcove.storage import revisions

log = logbook.Logger("accounts")

MAX_WEIGHT = kinds.MAX_ACCOUNT_WEIGHT
CHECKSUM_BYTES = 4
# The checksum without orders. It isn't 0, which is that of instances that keep none.
EMPTY_CHECKSUM = 1


class WeightOrder(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order for one account.

    Sent between instances: a new field must come last and have a default.
    """

    account: ids.AccountId
    # None: the order was taken back. It stays as a record, or an instance that missed
    # that would spread the order before it again.
    weight: float | None
    # Rises with each order for the account; see persistence.OrderRows.
    revision: int


class Orders(ledger.Ledger[WeightOrder]):
    """The newest order for each account that this instance knows."""

    def __init__(self) -> None:
        self.orders: dict[ids.AccountId, WeightOrder] = {}
        self.version = 0
        self.checksum_version = 0
        self.cached_checksum = EMPTY_CHECKSUM

    def weight(self, account: ids.AccountId) -> float | None:
        """Return the ordered weight of an account, or None without an order."""
        found = self.orders.get(account)
        return None if found is None else found.weight

    def revision(self, account: ids.AccountId) -> int:
        """Return the revision of the newest order for an account; 0: there is none."""
        found = self.orders.get(account)
        return 0 if found is None else found.revision

    def merge(self, shared: WeightOrder, now: ids.Instant) -> bool:
        """See Ledger; an order with a weight that can't be used is ignored."""
        known = self.orders.get(shared.account)
        if known is not None and rank(shared) <= rank(known):
            return False
        if shared.weight is not None and not is_weight(shared.weight):
            log.warning("{}", unusable(shared.account, f"`weight` is {shared.weight}"))
            return False
        self.orders[shared.account] = shared
        self.version += 1
        log.info(
            "weight of {} by order {}: {}",
            shared.account,
            revisions.text(shared.revision),
            "none" if shared.weight is None else shared.weight,
        )
        return True

    def all_keys(self) -> list[str]:
        """See Ledger."""
        return sorted(self.orders)

    def shared(self, key: str, now: ids.Instant) -> WeightOrder | None:
        """See Ledger."""
        return self.orders.get(ids.AccountId(key))

    def aged(self, shared: WeightOrder, seconds: float) -> WeightOrder:
        """See Ledger; orders don't end."""
        return shared

    def sweep(self, now: ids.Instant) -> None:
        """See Ledger; orders don't end."""

    def checksum(self, now: ids.Instant) -> int:
        """See Ledger; never 0. Computed once per change, since it is asked often."""
        if self.checksum_version != self.version:
            self.checksum_version = self.version
            found = 0
            for order in self.orders.values():
                text = msgspec.msgpack.encode(order)
                part = hashlib.blake2b(text, digest_size=CHECKSUM_BYTES).digest()
                found ^= int.from_bytes(part)
            self.cached_checksum = found or EMPTY_CHECKSUM
        return self.cached_checksum


def rank(order: WeightOrder) -> tuple[int, float]:
    """Return by what the newer of two orders is found.

    The store gives no revision twice. If somebody writes a row by hand under a revision
    that was used, the weight decides, so that all instances choose the same.
    """
    return order.revision, -1.0 if order.weight is None else order.weight


def is_weight(value: float) -> bool:
    """Tell whether a number can be a weight; infinity and NaN can't."""
    return 0.0 < value <= MAX_WEIGHT


def read_weight(text: str) -> float:
    """Return the weight that an operator wrote; raises SettingsError."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not is_weight(value):
        raise errors.SettingsError(
            f"the weight {text!r} can't be used",
            f"Write VALUE as a number above 0 and at most {MAX_WEIGHT:g}.",
        )
    return value


def unusable(account: str, problem: str) -> errors.PlatformError:
    """Return the error for an order that can't be used."""
    return errors.PlatformError(
        f"an order for the weight of {account} is ignored: {problem}",
        f"Order it again: `tealcove accounts weight {account} VALUE`, a number above "
        f"0 and at most {MAX_WEIGHT:g}.",
    )
