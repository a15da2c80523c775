"""Edits of one resource: put, merge patch and delete."""

from __future__ import annotations

import abc
from typing import Any

import msgspec

from tealcove.resources import codec, kinds


class Edit(abc.ABC):
    """An edit of a resource; `creates` tells whether it may create one."""

    creates = False

    @abc.abstractmethod
    def spec_after(
        self, kind: kinds.Kind, current: kinds.Resource | None
    ) -> kinds.Spec | None:
        """Return the new spec, or None to delete; raises InvalidFieldError."""

    @abc.abstractmethod
    def describe(self) -> bytes:
        """Return bytes that identify the edit: equal only for equal edits."""


class Put(Edit):
    """Replace the whole spec."""

    creates = True

    def __init__(self, spec: kinds.Spec) -> None:
        self.spec = spec

    def spec_after(
        self, kind: kinds.Kind, current: kinds.Resource | None
    ) -> kinds.Spec | None:
        """Return the spec as given."""
        return self.spec

    def describe(self) -> bytes:
        """Return the spec as JSON."""
        return b"put " + codec.encode(self.spec)


class MergePatch(Edit):
    """Merge a patch into the spec (RFC 7386); null removes a field."""

    def __init__(self, patch: Any) -> None:
        self.patch = patch

    def spec_after(
        self, kind: kinds.Kind, current: kinds.Resource | None
    ) -> kinds.Spec | None:
        """Return the current spec with the patch merged in."""
        spec = {} if current is None else msgspec.to_builtins(current.spec)
        return codec.convert_spec(kind, merge(spec, self.patch))

    def describe(self) -> bytes:
        """Return the patch as JSON with sorted keys."""
        return b"patch " + msgspec.json.encode(self.patch, order="sorted")


class Delete(Edit):
    """Delete the resource."""

    def spec_after(
        self, kind: kinds.Kind, current: kinds.Resource | None
    ) -> kinds.Spec | None:
        """Return None."""
        return None

    def describe(self) -> bytes:
        """Return a constant."""
        return b"delete"


def merge(target: Any, patch: Any) -> Any:
    """Return `target` with a merge patch applied (RFC 7386, section 2)."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), value)
    return merged
