"""Common arguments of commands that connect to a deployment."""

from __future__ import annotations

import dataclasses
import os
import pathlib
from typing import Annotated

import cappa

from tealcove import client, errors

SERVER_VARIABLE = "TEALCOVE_SERVER"
KEY_VARIABLE = "TEALCOVE_KEY"
DEFAULT_SERVER = "http://127.0.0.1:7000"


@dataclasses.dataclass(kw_only=True)
class Servers:
    """Base class of commands that talk to a deployment.

    A key is never taken from the command line, where other users see it.
    """

    server: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="URL[,URL]",
            default=cappa.Env(SERVER_VARIABLE, default=DEFAULT_SERVER),
            help="Instances to talk to; the next one is asked when one fails.",
        ),
    ]
    key_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="FILE",
            default="",
            help=f"File that holds the bearer key; otherwise it's in {KEY_VARIABLE}.",
        ),
    ]
    ca: Annotated[
        str,
        cappa.Arg(
            long=True,
            value_name="FILE",
            default="",
            help="PEM file of the authority that signed the instances' certificates.",
        ),
    ]

    def connect(self) -> client.Client:
        """Return a client to use with `async with`; raises SettingsError."""
        servers = [one for one in self.server.split(",") if one]
        return client.Client(servers, self.read_key(), self.ca)

    def read_key(self) -> str:
        """Return the bearer key, or "" without one; raises SettingsError."""
        if not self.key_file:
            return os.environ.get(KEY_VARIABLE, "")
        try:
            return pathlib.Path(self.key_file).read_text("utf-8").strip()
        except OSError as failure:
            raise errors.SettingsError(
                f"{self.key_file}: can't be read: {failure.strerror}",
                "Name a file that holds the key and nothing else.",
            ) from None
