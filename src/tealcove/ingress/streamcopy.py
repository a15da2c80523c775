"""The entry's state of a stream's copy, from which it goes on after a crash."""

from __future__ import annotations

import msgspec

from tealcove import errors, ids
from tealcove.catalog import declared
from tealcove.dispatch import messages


class Copying(msgspec.Struct):
    """Whether this instance asks for copies of streams, and what became of them."""

    is_enabled: bool = False
    # Streams sent with the address for their copy.
    copied: int = 0
    # Streams that went on from their copy.
    continued: int = 0
    # Streams that were lost though a copy was started.
    lost: int = 0


class StreamCopy:
    """The copy of one request's stream; it is used once, after its server has ended."""

    def __init__(self, copying: Copying, route: declared.Route) -> None:
        self.copying = copying
        self.is_once = route.is_stream and route.repeat is declared.Repeat.ONCE
        # The server with the copy, from the end of the stream's own server on.
        self.server: ids.BackendServerId | None = None
        # Whether that server was asked to go on.
        self.is_used = False
        # Whether the stream was counted as copied.
        self.is_copied = False
        # Why the stream doesn't go on; empty: it may.
        self.obstacle = ""

    @property
    def is_wanted(self) -> bool:
        """Whether the next run should be copied."""
        return self.copying.is_enabled and self.is_once and self.server is None

    def record_attempt(self) -> None:
        """Record that a server is about to be asked to run the request, or to go on."""
        self.is_used = self.server is not None

    def record_sending(self, grant: messages.Grant) -> None:
        """Record that the request is sent to the server of a grant.

        It may be sent again if another instance turns out to have passed nothing on.
        """
        if grant.copy_server is not None and not self.is_copied:
            self.is_copied = True
            self.copying.copied += 1

    def record_crash(self, grant: messages.Grant) -> None:
        """Record that the server of a grant has ended during the run."""
        if self.server is None:
            self.server = grant.copy_server

    def obstacle_after(self, error: errors.BackendError) -> str:
        """Return why the stream can't go on after an error; empty if it may."""
        return str(error) if self.is_used else ""

    def record_continuation(self) -> None:
        """Record that the server with the copy goes on with the stream."""
        self.copying.continued += 1

    def record_loss(self) -> None:
        """Record that the stream has ended incomplete."""
        self.copying.lost += 1
