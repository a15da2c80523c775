"""Tests of decoding callers' headers."""

from __future__ import annotations

import hypothesis
import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import strategies as st

from tealcove.ingress import call
from tealcove.platform import callers, names

CODEC = callers.CallerCodec()
# Digits of other scripts, superscripts and numbers of any length among them.
NUMBERS = st.one_of(
    st.text(alphabet="0123456789., -+eE_²٣\u00a0", max_size=12),
    st.integers().map(str),
    st.floats().map(str),
    st.just("9" * 5000),
    st.text(alphabet=st.characters(blacklist_categories=["Cc", "Cs"]), max_size=12),
)
READ_FROM = (
    names.TOKEN_COUNT,
    names.LENGTH_HINT,
    names.DEADLINE_MS,
    names.LAST_EVENT_ID,
)


def read(headers: dict[str, str], target: str = "/a/1") -> call.Call:
    """Decode a request with the given headers."""
    sent = {"Host": "a.example", names.REQUEST_ID: "r-1", **headers}
    request = make_mocked_request("POST", "/", headers=sent)
    # A target that begins with two slashes names no host, as the mock takes it to.
    request._message = request._message._replace(path=target)
    return CODEC.read(request, b"x")


@hypothesis.given(
    st.dictionaries(st.sampled_from(READ_FROM), NUMBERS), st.integers(0, 3)
)
def test_any_header_is_decoded_or_rejected(
    headers: dict[str, str], separators: int
) -> None:
    """Guards against status 500 and a traceback for an invalid number in a header.

    Some texts pass a check for digits, but their conversion fails, such as a
    superscript or 5,000 digits.
    """
    if names.TOKEN_COUNT in headers:
        headers[names.TOKEN_COUNT] += "," * separators + "5"
    try:
        found = read(headers)
    except call.UnreadableError as error:
        assert str(error)
        return
    work = found.work
    assert 0 <= work.expected_tokens <= work.output_tokens
    assert work.prompt_tokens >= 0
    assert found.caller_timeout is None or 0.0 <= found.caller_timeout < float("inf")
    assert found.last_event is None or found.last_event >= 0


@pytest.mark.parametrize(
    "tokens", ["²,5", "5,²", "9" * 5000 + ",5", "5", "5,5,5", "-5,5"]
)
def test_invalid_token_counts_are_rejected(tokens: str) -> None:
    with pytest.raises(call.UnreadableError, match="two whole numbers"):
        read({names.TOKEN_COUNT: tokens})


def test_invalid_length_hint_is_ignored() -> None:
    found = read({names.TOKEN_COUNT: "10, 20", names.LENGTH_HINT: "²"})
    assert found.work == call.Work(10, 20, 0)


@hypothesis.given(st.text(alphabet="/?#%. \u00e9abc", max_size=20))
@hypothesis.example("//.\u00e9")
def test_any_target_is_decoded_or_rejected(target: str) -> None:
    try:
        found = read({}, target or "/")
    except call.UnreadableError:
        return
    assert found.path.startswith("/")
    assert "?" not in found.path


@pytest.mark.parametrize("sent", [None, "", "r-0"])
def test_the_attempt_that_a_stream_resumes_is_read(sent: str | None) -> None:
    found = read({} if sent is None else {names.RESUMES: sent})
    assert found.resumes == (sent or None)


@pytest.mark.parametrize(
    ("written", "parts"),
    [
        ("5C1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
        ("e440:250", ()),
        ("", ()),
        ("aa, bb ,aa:1,cc", ("aa", "bb")),
        ("not-hex:1,aa:1,:,cc", ("aa",)),
        ("a" * 65 + ":1,aa:x,cc", ("aa",)),
    ],
)
def test_parts_of_a_prompt_but_the_last(written: str, parts: tuple[str, ...]) -> None:
    assert read({names.PREFIX_HASH: written}).parts == parts


@hypothesis.given(st.text(alphabet="0123456789abcXYZ:, ", max_size=200))
def test_any_list_of_parts_is_read(written: str) -> None:
    found = read({names.PREFIX_HASH: written}).parts
    assert len(found) <= callers.MAX_PARTS
    assert all(callers.PART_ID.fullmatch(part) for part in found)
