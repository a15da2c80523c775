"""Names defined by the platform: headers, paths, tables and document values."""

from __future__ import annotations

# Headers of a caller's request.
REQUEST_ID = "Tealcove-Request-Id"
DEADLINE_MS = "Tealcove-Deadline-Ms"
API_KEY = "Api-Key"
# Two numbers: prompt tokens and the maximum of output tokens.
TOKEN_COUNT = "Tealcove-Token-Count"
LENGTH_HINT = "Tealcove-Length-Hint"
# The parts of the prompt in order, as comma-separated ID:TOKENS.
PREFIX_HASH = "Tealcove-Prefix-Hash"
LAST_EVENT_ID = "Last-Event-Id"
# The request that brought the first event of the stream that is resumed.
RESUMES = "Resumes"

# Headers that this system sets for a backend server.
ACCOUNT = "Tealcove-Tenant"
EXPECTED_INCARNATION = "Tealcove-Expect-Instance"
# IP:PORT of the server that the request's KV cache is copied to while it grows.
KV_BACKUP = "Tealcove-Kv-Backup"
# IP:PORT/ID: the server with the copy of an interrupted run, and the run's request id.
KV_FROM = "Kv-From"

# Headers of a backend server's response.
SIGNATURE = "Tealcove-Response-Stamp"
NOT_RUN = "Tealcove-Not-Executed"
INCARNATION = "Tealcove-Instance"
LOAD = "Tealcove-Instance-Load"
RETRY_AFTER = "Retry-After"
# Requests a second that the server takes from all instances together, while it says so.
REQUEST_LIMIT = "Server-Limit"
# Whether the server leaves.
LEAVING = "Server-Leaving"
# Requests that the server can reject in a second without falling over, if it may fall.
BRITTLE = "Server-Brittle"

# Headers that only this system may set. Callers could use them to charge a request to
# another account, pin it in an engine's memory, or access another request's memory.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY,
        ACCOUNT,
        EXPECTED_INCARNATION,
        "Tealcove-Expect-Version",
        "Tealcove-Pin-Ms",
        "Tealcove-Hold",
        KV_BACKUP,
        "Kv-Fetch",
        KV_FROM,
        NOT_RUN,
        SIGNATURE,
        INCARNATION,
        LOAD,
    )
)

# Endpoints of this system.
READY_PATH = "/readyz"
RESOLVE_PATH = "/resolve"

# Endpoints of the store.
TRANSACT_PATH = "/rows-tx"
READ_PATH = "/rows-get"
FEED_PATH = "/rows-feed"
PUT_OBJECT_PATH = "/blob-put/"
GET_OBJECT_PATH = "/blob-get/"
DROP_OBJECT_PATH = "/blob-drop/"

# Header of all answers of the store: rises by one each time that it was restored from a
# copy, lacks acknowledged writes and gives out their versions again.
STORE_ERA = "Store-Era"

# Tables that the operator and the backend servers write.
OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
CONFIGURATION_KEY = "config"
ROLLOUT_KEY = "rollout/"
# The table to which this system writes the status of the operator's orders.
STATUS_TABLE = "status"

# Values in documents.
SAFE = "safe"
STREAM = "stream"
TOKENS = "token"
