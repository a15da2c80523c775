"""The tree of typed errors; each message says what to do about it."""

from __future__ import annotations


class TealcoveError(Exception):
    """Any error of this package: what is wrong and the remedy."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}. {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(TealcoveError):
    """A settings file that can't be used."""


class ResourceError(TealcoveError):
    """A resource, or a change of one, that can't be accepted."""


class PlatformError(TealcoveError):
    """The platform's table service, object store or lists failed."""


class PlatformUnavailableError(PlatformError):
    """The platform didn't take the call: certainly nothing was applied."""


class OutcomeUnknownError(PlatformError):
    """The reply was lost: the write may or may not have been applied."""


class PeerError(TealcoveError):
    """A message between instances couldn't be sent or understood."""


class BackendError(TealcoveError):
    """A backend server didn't do what was asked."""
