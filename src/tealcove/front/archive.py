"""All modules of an instance in one file, which its start reads at once.

An instance imports some 600 modules. Python looks each of them up in several folders,
opens it and compares it with its source: 9,000 system calls before the first request
is taken, for which callers wait when all instances have ended at once.

`python -m tealcove.front.archive FOLDER` writes the archive of the modules that are
installed in FOLDER. Whoever changes a module there writes it anew.
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
# The standard library isn't in the same folder on every machine.
LIBRARY = os.path.dirname(os.__file__)
USAGE = "usage: python -m tealcove.front.archive FOLDER"


class Entry(NamedTuple):
    """One module; written as a plain tuple."""

    is_package: bool
    is_library: bool
    # Relative to the standard library's folder, or else to the archive's.
    file: str
    # As `marshal` writes it.
    code: bytes


class Finder:
    """Finds and loads the modules of an archive, each once.

    An importlib.abc.MetaPathFinder and Loader, though not by descent: that module
    brings a dozen others, and is the first that an instance would load.
    """

    def __init__(self, folder: str, entries: dict[str, Entry]) -> None:
        self.folder = folder
        self.entries = entries

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> machinery.ModuleSpec | None:
        """See importlib.abc.MetaPathFinder; None: it isn't in the archive."""
        found = self.entries.get(name)
        if found is None:
            return None
        origin = os.path.join(LIBRARY if found.is_library else self.folder, found.file)
        spec = machinery.ModuleSpec(
            name, self, origin=origin, is_package=found.is_package
        )
        # Gives the module its __file__, by which some find data beside them.
        spec.has_location = True
        if found.is_package:
            spec.submodule_search_locations = [os.path.dirname(origin)]
        return spec

    def create_module(self, spec: machinery.ModuleSpec) -> None:
        """See importlib.abc.Loader; the usual module will do."""

    def exec_module(self, module: ModuleType) -> None:
        """See importlib.abc.Loader."""
        exec(marshal.loads(self.entries.pop(module.__name__).code), module.__dict__)


def install(folder: str) -> None:
    """Load modules from a folder's archive from now on.

    Without an archive, or with one of another Python or a part of one, they're loaded
    from their files.
    """
    try:
        entries = read(os.path.join(folder, NAME))
    except (OSError, EOFError, ValueError):
        return
    sys.meta_path.insert(0, Finder(folder, entries))


def read(path: str) -> dict[str, Entry]:
    """Return what an archive holds; raises OSError, EOFError or ValueError."""
    with open(path, "rb") as file:
        content = file.read()
    magic = util.MAGIC_NUMBER
    if not content.startswith(magic):
        raise ValueError("written by another Python")
    written = marshal.loads(memoryview(content)[len(magic) :])
    return {name: Entry(*fields) for name, fields in written.items()}


def collect(folder: str) -> dict[str, Entry]:
    """Return the modules that an instance imports, those of `folder` among them."""
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
    # What runs now bears another name when it's imported.
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
