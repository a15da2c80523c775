"""An archive of all modules of an instance, read in one call at its start.

An instance imports some 600 modules. Python searches several folders for each of them,
opens it and compares it with its source: 9,000 system calls before the first request
is accepted. After all instances were killed at once, callers wait for them.

`python -m tealcove.front.archive FOLDER` writes the archive of the modules that are
installed in FOLDER. It must be written again after a module there has changed.
"""

from __future__ import annotations

import importlib
import marshal
import os
import sys
from importlib import machinery, util
from types import ModuleType
from typing import NamedTuple

NAME = "modules.archive"
PROGRAM = "tealcove.front.daemon"
# The folder of the standard library, which differs between machines.
LIBRARY = os.path.dirname(os.__file__)
USAGE = "usage: python -m tealcove.front.archive FOLDER"


class Entry(NamedTuple):
    """A module of the archive; stored as a plain tuple."""

    is_package: bool
    is_library: bool
    # Path relative to the standard library's folder if `is_library`, else to the
    # archive's.
    file: str
    # The code object, serialised by `marshal`.
    code: bytes


class Finder:
    """Finds and loads the modules of an archive, each once.

    Implements importlib.abc.MetaPathFinder and Loader without deriving from them:
    importing importlib.abc loads a dozen other modules before the archive is usable.
    """

    def __init__(self, folder: str, entries: dict[str, Entry]) -> None:
        self.folder = folder
        self.entries = entries

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> machinery.ModuleSpec | None:
        """Return a module's spec; None if it isn't in the archive."""
        found = self.entries.get(name)
        if found is None:
            return None
        origin = os.path.join(LIBRARY if found.is_library else self.folder, found.file)
        spec = machinery.ModuleSpec(
            name, self, origin=origin, is_package=found.is_package
        )
        # Sets the module's __file__, which some modules use to find data files.
        spec.has_location = True
        if found.is_package:
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec

    def create_module(self, spec: machinery.ModuleSpec) -> None:
        """Return None for the default module object; see importlib.abc.Loader."""

    def exec_module(self, module: ModuleType) -> None:
        """Run a module's code and drop it from the archive."""
        exec(marshal.loads(self.entries.pop(module.__name__).code), module.__dict__)


def install(folder: str) -> None:
    """Load modules from a folder's archive from now on.

    If the archive is missing, truncated or written by another version of Python,
    modules are loaded from their files.
    """
    try:
        entries = read(os.path.join(folder, NAME))
    except (OSError, EOFError, ValueError):
        return
    sys.meta_path.insert(0, Finder(folder, entries))


def read(path: str) -> dict[str, Entry]:
    """Return an archive's modules; raises OSError, EOFError or ValueError."""
    with open(path, "rb") as file:
        content = file.read()
    magic = util.MAGIC_NUMBER
    if not content.startswith(magic):
        raise ValueError("the archive was written by another version of Python")
    written = marshal.loads(memoryview(content)[len(magic) :])
    return {name: Entry(*fields) for name, fields in written.items()}


def collect(folder: str) -> dict[str, Entry]:
    """Return the modules that an instance imports, in `folder` or elsewhere."""
    importlib.import_module(PROGRAM)
    found = {}
    for name, module in sorted(sys.modules.items()):
        spec = vars(module).get("__spec__")
        if spec is None or not isinstance(spec.loader, machinery.SourceFileLoader):
            continue
        is_library = not spec.origin.startswith(folder + os.sep)
        base = LIBRARY if is_library else folder
        found[name] = Entry(
            spec.submodule_search_locations is not None,
            is_library,
            os.path.relpath(spec.origin, base),
            marshal.dumps(spec.loader.get_code(spec.name)),
        )
    # This program's own module has another name when it is imported.
    found.pop("__main__", None)
    return found


def write(folder: str) -> None:
    """Write the archive of a folder."""
    entries = {name: tuple(entry) for name, entry in collect(folder).items()}
    with open(os.path.join(folder, NAME), "wb") as file:
        file.write(util.MAGIC_NUMBER + marshal.dumps(entries))


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(USAGE)
    write(os.path.abspath(sys.argv[1]))
