"""HTTP handlers with which operators see accounts and change their weights."""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec
from aiohttp import web

from tealcove import decoding, errors, ids
from tealcove.accounts import orders, role, tallies
from tealcove.catalog import lookup

PATH = "/accounts"
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503
HTTP_UNKNOWN = 504


class Source(enum.Enum):
    """Where an account's weight comes from."""

    ORDER = "order"
    LIMIT_RATE = "limit rate"
    DEFAULT = "default"


class ShownAccount(msgspec.Struct, frozen=True):
    """An account as shown to operators."""

    account: ids.AccountId
    weight: float
    source: Source
    # The account's rank, 0 the highest; None: that of the route.
    tier: int | None
    # False for an account with an order that the configuration no longer names.
    is_configured: bool
    # Its requests at this instance since its start; None: they count as `other`.
    counts: tallies.Totals | None


class Change(msgspec.Struct, frozen=True):
    """The body of an order."""

    weight: float


class AccountHandlers:
    """Handlers for the loopback interface; they need no key."""

    def __init__(
        self,
        weights: role.OrderedWeights,
        counts: tallies.Tallies,
        configuration: Callable[[], lookup.Lookup | None],
    ) -> None:
        self.weights = weights
        self.counts = counts
        self.configuration = configuration

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the handlers."""
        return [
            web.get(PATH, self.list_accounts),
            web.put(f"{PATH}/{{account:.+}}", self.change),
            web.delete(f"{PATH}/{{account:.+}}", self.reset),
        ]

    async def list_accounts(self, request: web.Request) -> web.Response:
        """Answer with all accounts, those with an order first."""
        current = self.configuration()
        configured = () if current is None else current.accounts
        ordered = [one for one, order in self.orders().items() if order.weight]
        shown = [self.show(account) for account in {*configured, *ordered}]
        shown.sort(key=lambda one: (one.source is not Source.ORDER, one.account))
        return respond(tuple(shown))

    async def change(self, request: web.Request) -> web.Response:
        """Order the weight of an account."""
        try:
            change = decoding.decode_json(await request.read(), Change)
            weight = orders.read_weight(str(change.weight))
        except msgspec.MsgspecError as error:
            remedy = 'Send a body such as {"weight": 2}.'
            return refuse(
                HTTP_BAD_REQUEST, f"The order can't be read: {error}. {remedy}"
            )
        except errors.SettingsError as error:
            return refuse(HTTP_BAD_REQUEST, str(error))
        account = ids.AccountId(request.match_info["account"])
        problem = self.find_problem(account)
        return problem or await self.order(account, weight)

    async def reset(self, request: web.Request) -> web.Response:
        """Take the order for an account back."""
        account = ids.AccountId(request.match_info["account"])
        if account not in self.orders():
            problem = self.find_problem(account)
            if problem is not None:
                return problem
        return await self.order(account, None)

    async def order(self, account: ids.AccountId, weight: float | None) -> web.Response:
        """Carry out an order, and answer with the account."""
        try:
            await self.weights.order(account, weight)
        except errors.OutcomeUnknownError as error:
            text = (
                f"The order may or may not be in force: {error} Look with `tealcove "
                "accounts list` once the store answers, and order again."
            )
            return refuse(HTTP_UNKNOWN, text)
        except errors.PlatformError as error:
            text = f"The order was rejected and nothing was changed: {error}"
            return refuse(HTTP_UNAVAILABLE, text)
        return respond(self.show(account))

    def find_problem(self, account: ids.AccountId) -> web.Response | None:
        """Return the answer to an order for an unknown account, or None."""
        current = self.configuration()
        if current is None:
            text = "This instance knows no configuration yet. Order again later."
            return refuse(HTTP_UNAVAILABLE, text)
        if account not in current.accounts:
            return refuse(
                HTTP_NOT_FOUND,
                f"The configuration in force has no account {account!r}. `tealcove "
                "accounts list` shows the names.",
            )
        return None

    def orders(self) -> dict[ids.AccountId, orders.WeightOrder]:
        """Return all orders by account."""
        return self.weights.orders.orders

    def show(self, account: ids.AccountId) -> ShownAccount:
        """Return an account as it is shown."""
        current = self.configuration()
        found = None if current is None else current.accounts.get(account)
        source = Source.DEFAULT
        if self.weights.orders.weight(account) is not None:
            source = Source.ORDER
        elif found is not None and found.limit is not None:
            source = Source.LIMIT_RATE
        return ShownAccount(
            account=account,
            weight=self.weights.weight(account),
            source=source,
            tier=None if found is None else found.rank,
            is_configured=found is not None,
            counts=self.counts.totals(account),
        )


def refuse(status: int, text: str) -> web.Response:
    """Return the answer to an order that isn't carried out."""
    return web.Response(status=status, text=f"{text}\n")


def respond(shown: ShownAccount | tuple[ShownAccount, ...]) -> web.Response:
    """Return a JSON response."""
    body = msgspec.json.encode(shown)
    return web.Response(body=body, content_type="application/json")
