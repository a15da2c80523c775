"""`tealcove request`: send one completion request."""

from __future__ import annotations

import dataclasses
import secrets
import sys
from typing import Annotated

import cappa

from tealcove import completion
from tealcove.commands import output, servers

STANDARD_INPUT = "-"
KEY_BYTES = 8


@cappa.command(
    name="request",
    help="Send one completion request and print its text.",
    description=(
        "Exit code 4 tells that it was not run; 1 that it failed, was rejected, or "
        "broke off, and then the printed text isn't the whole answer."
    ),
)
@dataclasses.dataclass(kw_only=True)
class Request(servers.Servers):
    """Arguments of `request`."""

    prompt: Annotated[
        str, cappa.Arg(help="The prompt; - reads it from standard input.")
    ]
    model: Annotated[str, cappa.Arg(long=True, help="Name of the model.")]
    adapter: Annotated[
        str | None, cappa.Arg(long=True, default=None, help="An adapter of the model.")
    ]
    max_tokens: Annotated[
        int, cappa.Arg(long=True, default=256, help="Longest answer in tokens.")
    ]
    stream: Annotated[
        bool, cappa.Arg(long=True, default=False, help="Print the text as it comes.")
    ]
    deadline: Annotated[
        float | None,
        cappa.Arg(
            long=True,
            default=None,
            help="Seconds after which the answer is of no use; default: the tier's.",
        ),
    ]
    idempotency_key: Annotated[
        str,
        cappa.Arg(
            long=True, default="", help="Key of an earlier attempt; default: a new one."
        ),
    ]
    once: Annotated[
        bool,
        cappa.Arg(
            long=True, default=False, help="The request is non-idempotent: never rerun."
        ),
    ]

    async def __call__(self) -> None:
        """Send the request and print the answer."""
        body = completion.Completion(
            model=self.model,
            prompt=self.read_prompt(),
            max_tokens=self.max_tokens,
            adapter=self.adapter,
            stream=self.stream,
        )
        key = self.idempotency_key or secrets.token_hex(KEY_BYTES)
        options = completion.Options(
            idempotency_key=key, deadline=self.deadline, idempotent=not self.once
        )
        output.progress(f"Idempotency-Key: {key}")
        async with self.connect() as link:
            async for text in completion.send(link, body, options):
                print(text, end="", flush=True)
        print()

    def read_prompt(self) -> str:
        """Return the prompt from the arguments or from standard input."""
        if self.prompt == STANDARD_INPUT:
            return sys.stdin.read()
        return self.prompt
