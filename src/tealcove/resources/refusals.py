"""Exceptions for refused changes and reads of resources."""

from __future__ import annotations

from tealcove import errors, ids


class FieldError(errors.ResourceError):
    """A refusal because of one field, for example `spec.servers[0].port`."""

    def __init__(self, problem: str, remedy: str, field: str) -> None:
        super().__init__(f"{field}: {problem}", remedy)
        self.field = field


class InvalidFieldError(FieldError):
    """A field that is unknown, missing, or has a wrong type or value."""


class MissingReferenceError(FieldError):
    """A field that names a missing resource."""


class DuplicateError(FieldError):
    """A field whose value must be unique and is already in use."""


class InUseError(FieldError):
    """A resource that can't be deleted or changed because others refer to it."""


class NotFoundError(errors.ResourceError):
    """A resource or kind that doesn't exist."""


class PreconditionRequiredError(errors.ResourceError):
    """A change of an existing resource that doesn't name its revision."""


class RevisionConflictError(errors.ResourceError):
    """A change that isn't based on the current revision.

    `current` is 0 and `changed_by` is empty when the resource doesn't exist.
    """

    def __init__(
        self, problem: str, remedy: str, current: ids.Revision, changed_by: str
    ) -> None:
        super().__init__(problem, remedy)
        self.current = current
        self.changed_by = changed_by


class BusyError(errors.ResourceError):
    """Concurrent changes defeated each attempt; nothing was applied."""


class IdempotencyMismatchError(errors.ResourceError):
    """An Idempotency-Key that the operator already used for another change."""


class CompactedError(errors.ResourceError):
    """The changes after this revision are no longer kept individually."""


class UnauthorisedError(errors.ResourceError):
    """A request without the key of a declared operator."""


class BadRequestError(errors.ResourceError):
    """A header, query or body that the API doesn't accept."""


class TooLargeError(errors.ResourceError):
    """A body larger than the limit of this instance."""

    def __init__(self) -> None:
        super().__init__(
            "the body is larger than this instance takes",
            "Send a smaller resource, or raise the limit in the settings.",
        )


class TableRestoredError(errors.PlatformError):
    """The platform's table is older than the configuration in force."""

    def __init__(self, head: ids.Revision, in_force: ids.Revision) -> None:
        super().__init__(
            f"the platform's table is at revision {head}, but {in_force} is in force",
            "Restore the newer state of the table, or restart all instances to go "
            "back on purpose.",
        )
