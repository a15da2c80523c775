"""Failures of a dispatched request other than those that its server reports."""

from __future__ import annotations

from tealcove import errors, ids


class CrashError(errors.BackendError):
    """The server that ran the request can't be reached any more."""

    def __init__(self, server: ids.BackendServerId) -> None:
        super().__init__(
            f"{server} was lost while it ran the request", "Look at its log."
        )


class PreemptedError(errors.BackendError):
    """The dispatcher asked for the slot back."""

    def __init__(self, retry_after: float) -> None:
        super().__init__("A higher tier needed the slot", "Send the request later.")
        self.retry_after = retry_after
