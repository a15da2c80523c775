"""A budget of actions a second, which bounds the bytes of their messages."""

from __future__ import annotations

from tealcove import ids


class Budget:
    """Allows so many actions a second, and as many at once after a second's pause."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.left = rate
        self.updated = ids.Instant(0.0)

    def allows(self, now: ids.Instant) -> bool:
        """Tell whether one more action is within the budget."""
        accrued = self.rate * max(0.0, now - self.updated)
        self.updated = now
        self.left = min(self.rate, self.left + accrued)
        return self.left >= 1.0

    def use(self) -> None:
        """Record an action."""
        self.left -= 1.0
