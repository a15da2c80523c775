"""Labels of accounts in metrics, bounded in number."""

from __future__ import annotations

from tealcove import ids

# Accounts that have series of their own: those with the most requests.
TOP_ACCOUNTS = 32
# An account keeps its series when others overtake it, up to this many accounts. Beyond
# it, the one with the fewest requests loses them. The difference to the number above
# keeps accounts of similar size from alternating.
MAX_NAMED = 48
# Seconds after which a request counts half.
HALF_LIFE = 300.0
# The maximum of accounts whose requests are counted; beyond it, the half with the
# fewest is dropped.
MAX_COUNTED = 1024
# Requests are weighted by 2 ** (age of the process / HALF_LIFE) instead of decaying all
# counts at each request; at this exponent all are scaled down.
MAX_EXPONENT = 64.0
# A process without requests for days is far beyond; a float holds 2 ** 1023.
MAX_SCALE_EXPONENT = 1000.0

OTHER = "other"
# Label of requests without an account, on public routes.
NO_ACCOUNT = "-"


class AccountLabels:
    """The accounts with series of their own, by their decayed count of requests."""

    def __init__(self) -> None:
        self.scores: dict[ids.AccountId, float] = {}
        self.named: set[ids.AccountId] = set()
        # When the weight of a request was 1.
        self.base: ids.Instant | None = None

    def count(self, account: ids.AccountId, now: ids.Instant) -> ids.AccountId | None:
        """Count a request; return the account that loses its series, if one does."""
        weight = self.weight(now)
        score = self.scores.get(account, 0.0) + weight
        self.scores[account] = score
        if account in self.named:
            return None
        if len(self.scores) > MAX_COUNTED:
            self.drop_smallest(account)
        larger = sum(1 for one in self.named if self.scores[one] >= score)
        if larger >= TOP_ACCOUNTS:
            return None
        self.named.add(account)
        if len(self.named) <= MAX_NAMED:
            return None
        lost = min(self.named, key=lambda one: (self.scores[one], one))
        self.named.remove(lost)
        return lost

    def label(self, account: ids.AccountId) -> str:
        """Return the label of an account."""
        if not account:
            return NO_ACCOUNT
        return account if account in self.named else OTHER

    def weight(self, now: ids.Instant) -> float:
        """Return the weight of a request that ends now."""
        if self.base is None:
            self.base = now
        exponent = (now - self.base) / HALF_LIFE
        if exponent < MAX_EXPONENT:
            return 2.0**exponent
        scale = 2.0 ** -min(exponent, MAX_SCALE_EXPONENT)
        self.scores = {one: score * scale for one, score in self.scores.items()}
        self.base = now
        return 1.0

    def drop_smallest(self, kept: ids.AccountId) -> None:
        """Drop the counts of the accounts with the fewest requests, but one."""
        unnamed = self.scores.keys() - self.named - {kept}
        smallest = sorted(unnamed, key=self.scores.__getitem__)
        for account in smallest[: MAX_COUNTED // 2]:
            del self.scores[account]
