"""The hierarchy of exceptions; each message includes a remedy."""

from __future__ import annotations


class TealcoveError(Exception):
    """Base class of all errors of this package, with a problem and a remedy."""

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
    """The platform didn't accept the call: nothing was applied."""


class OutcomeUnknownError(PlatformError):
    """The reply was lost: the write may or may not have been applied."""


class PeerError(TealcoveError):
    """A message between instances couldn't be sent or understood."""


class BackendError(TealcoveError):
    """A backend server failed to carry out a call."""
