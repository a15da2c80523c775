"""Answers by the parts of their prompts."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from tealcove import ids

# The maximum of parts that are remembered; the one answered longest ago is dropped.
MAX_PARTS = 4096
# Seconds from an answer to a crash within which the answer acquits its parts. A part
# may turn bad, and mustn't be protected for long by the answers of before.
ACQUITTAL_SECONDS = 1.0


class Answers:
    """When a server last began to write an answer on a part, and lived on."""

    def __init__(self) -> None:
        self.began: collections.OrderedDict[ids.PartId, ids.Instant] = (
            collections.OrderedDict()
        )

    def add(self, parts: Iterable[ids.PartId], began: ids.Instant) -> None:
        """Record an answer whose server has lived on."""
        for part in parts:
            known = self.began.get(part)
            self.began[part] = began if known is None else max(known, began)
            self.began.move_to_end(part)
        while len(self.began) > MAX_PARTS:
            self.began.popitem(last=False)

    def acquits(self, part: ids.PartId, at: ids.Instant) -> bool:
        """Tell whether an answer shows that a part didn't cause a crash."""
        began = self.began.get(part)
        return began is not None and began + ACQUITTAL_SECONDS > at

    def began_since(self, part: ids.PartId, at: ids.Instant) -> bool:
        """Tell whether a server began to write an answer on a part after a crash."""
        began = self.began.get(part)
        return began is not None and began > at
