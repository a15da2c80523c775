"""Client calls to a deployment, for tests."""

from __future__ import annotations

import aiohttp
import msgspec

from tealcove.standins import answers

CALLER_KEY = "caller-key"


class Reply(msgspec.Struct, frozen=True):
    """The answer to a caller; `outcome` is "cut" when the connection broke."""

    status: int
    outcome: str
    text: str = ""
    reason: str = ""
    request_id: str = ""


def headers(tier: str = "high", **more: str) -> dict[str, str]:
    """Return the headers of a caller with the account of a tier."""
    key = f"{CALLER_KEY}-{tier}"
    return {"Authorization": f"Bearer {key}", **more}


async def complete(
    session: aiohttp.ClientSession,
    url: str,
    prompt: str,
    max_tokens: int = 8,
    tier: str = "high",
    extra: dict[str, str] | None = None,
) -> Reply:
    """Send one buffered completion and return its final answer."""
    body = {"model": "m", "prompt": prompt, "max_tokens": max_tokens}
    try:
        async with session.post(
            f"{url}/v1/completions", json=body, headers=headers(tier, **(extra or {}))
        ) as response:
            content = await response.json(content_type=None)
            return reply(response, content)
    except (aiohttp.ClientError, OSError):
        return Reply(status=0, outcome="cut")


async def stream(
    session: aiohttp.ClientSession,
    url: str,
    prompt: str,
    max_tokens: int = 8,
    tier: str = "high",
) -> Reply:
    """Send one streamed completion; it is complete only with its closing event."""
    body = {"model": "m", "prompt": prompt, "max_tokens": max_tokens, "stream": True}
    text = ""
    count = None
    try:
        async with session.post(
            f"{url}/v1/completions", json=body, headers=headers(tier)
        ) as response:
            if response.status != 200:
                return reply(response, await response.json(content_type=None))
            async for line in response.content:
                if line.startswith(b"data: {"):
                    event = msgspec.json.decode(line.removeprefix(b"data: "))
                    text += event["choices"][0].get("text", "")
                    count = event.get("count", count)
    except (aiohttp.ClientError, OSError):
        return Reply(status=0, outcome="cut", text=text)
    outcome = "completed" if count == max_tokens else "no closing event"
    return Reply(200, outcome, text=text)


def reply(response: aiohttp.ClientResponse, content: dict[str, object]) -> Reply:
    """Convert a response to a reply."""
    request_id = response.headers.get("X-Request-Id", "")
    if response.status == 200:
        text = content["choices"][0]["text"]
        return Reply(200, "completed", text=text, request_id=request_id)
    return Reply(
        response.status,
        content.get("outcome", ""),
        reason=content.get("reason", ""),
        request_id=request_id,
    )


def describe(found: Reply, prompt: str, max_tokens: int) -> str:
    """Return a line about a reply for a golden file, the same on every run."""
    line = f"{prompt}: {found.outcome}"
    if found.reason:
        line += f" ({found.reason})"
    if found.outcome == "completed":
        line += (
            ", whole and its own"
            if is_own_answer(found, prompt, max_tokens)
            else ", WRONG"
        )
    elif found.text:
        line += ", a fragment that the connection's end gave away"
    return line


def is_own_answer(found: Reply, prompt: str, max_tokens: int) -> bool:
    """Tell whether a reply is the complete answer to this prompt."""
    return found.text == answers.expected_answer(prompt, max_tokens)
