"""The kinds of soaks."""

from __future__ import annotations

import enum


class Kind(enum.Enum):
    """What a soak concentrates on."""

    # Any faults, of which none is frequent.
    PLAIN = "plain"
    # The store comes back from copies again and again. It is disturbed for most of the
    # time, so that fewer requests show how instances act on what is written.
    RESTORES = "restores"
    # Most faults are lost paths; the servers are brittle and state nothing else.
    PATHS = "paths"
    # The only faults are short pauses of the instances' processes.
    PAUSES = "pauses"
    # The servers have several software versions, and streams break.
    VERSIONS = "versions"
    # The servers crash on one part of prompts, and for other reasons.
    PARTS = "parts"
    # One client account floods servers that another one uses too.
    FLOODS = "floods"
    # Servers state their load falsely, or not at all.
    FALSE_LOADS = "false-loads"
    # Some instances have far less capacity than others, and are overloaded.
    OVERLOADED = "overloaded"
    # Instances are stopped again and again while callers keep their connections.
    STOPS = "stops"


# In these soaks servers state nothing, or only what the kind is about.
WITHOUT_STATEMENTS = frozenset(set(Kind) - {Kind.PLAIN, Kind.RESTORES})
