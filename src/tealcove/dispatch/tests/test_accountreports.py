"""Tests of the exchange of account use between dispatchers."""

from __future__ import annotations

import itertools
import math

import logbook
import msgspec
import pytest

from tealcove import errors, ids
from tealcove.dispatch import accountreports, accountuse, cells, goal
from tealcove.dispatch.tests import accountload, builders, transport
from tealcove.membership.tests import builders as membership_builders
from tealcove.peers import message

SERVICE = ids.PoolId("engines")
OTHER_CELL = ids.CellId("engines/1")
SLOTS = 10
NEVER_SUSPECTED = 1000.0
SMALL = tuple(f"small-{number}" for number in range(15))
USUAL = 0.66 * accountload.CAPACITY / len(SMALL)


def cell(cell_id: ids.CellId) -> cells.Cell:
    """Return a cell with SLOTS slots."""
    server = builders.server(f"s-{cell_id}", SLOTS)
    return msgspec.structs.replace(builders.cell(server), cell_id=cell_id)


class Instance:
    """The sharing of one instance among several."""

    def __init__(self, number: int, count: int = 3, cell_count: int = 1) -> None:
        self.mesh = transport.RecordingMesh()
        self.members = membership_builders.known(number)
        self.members.suspect_after = NEVER_SUSPECTED
        for other in range(count):
            if other != number:
                beat = membership_builders.heartbeat(other)
                self.members.record_heartbeat(beat, builders.instant(0.0))
        numbers = range(cell_count)
        self.cells = {
            found: cell(found)
            for found in (ids.CellId(f"{SERVICE}/{n}") for n in numbers)
        }
        self.sharing = accountreports.FairSharing(
            self.mesh, self.members, self.cells.get, accountload.Weights()
        )

    def serve(self, cell_id: ids.CellId, at: float = 0.0) -> goal.GoalScheduler:
        """Return a scheduler of a cell that this instance serves from now on."""
        now = builders.instant(at)
        found = goal.GoalScheduler()
        found.use_accounts(self.sharing.of_cell(self.cells[cell_id], now))
        found.configure(self.cells[cell_id], now)
        return found

    def told(self) -> list[accountreports.AccountUse]:
        """Return the messages sent so far."""
        return [sent.content for sent in self.mesh.sent]


def demand(found: goal.GoalScheduler, at: float = 0.0, **slots: float) -> None:
    """Let accounts demand so many slots."""
    for account, count in slots.items():
        found.accounts.record_arrival(
            builders.ticket(account=account),
            count * accountuse.DEMAND_SECONDS,
            builders.instant(at),
        )


def run(found: goal.GoalScheduler, account: str, count: int, at: float = 0.0) -> None:
    """Let an account hold so many slots more, which add nothing to its demand."""
    (server,) = found.views.servers
    for _ in range(count):
        ticket = builders.ticket(account=account, running_on=server)
        found.enqueue(ticket, builders.instant(at))


def is_over(found: goal.GoalScheduler, account: str, at: float) -> bool:
    """Tell whether an account is over its share."""
    ticket = builders.ticket(account=account)
    return found.accounts.standing(ticket, builders.instant(at)).is_over


def use(
    *figures: accountuse.Figures, cell_id: ids.CellId = OTHER_CELL, slots: float = SLOTS
) -> accountreports.AccountUse:
    """Return a message of another dispatcher."""
    return accountreports.AccountUse(
        service=SERVICE, cell=cell_id, slots=slots, figures=figures
    )


def figures(account: str, demand: float, use: float) -> accountuse.Figures:
    return accountuse.Figures(1, ids.AccountId(account), demand, use)


def receive(
    instance: Instance, told: accountreports.AccountUse, at: float, sender: int = 1
) -> None:
    """Deliver a message, encoded and decoded."""
    codec = message.Codec()
    codec.register(accountreports.AccountUse)
    decoded = codec.decode(codec.encode(told))
    instance.sharing.record(
        ids.InstanceId(f"i-{sender}"), decoded, builders.instant(at)
    )


def test_nothing_is_sent_without_contention():
    instance = Instance(0)
    found = instance.serve(builders.CELL)
    demand(found, a=4.0, b=4.0)
    for number in range(20):
        instance.sharing.advance(builders.instant(number * 0.1))
    assert not instance.told()


def test_contention_is_told_twice_a_second_until_it_ends():
    """Guards against messages without a limit, and against a stale last one.

    The demand decays from 40 to 10 slots in 1.04 s.
    """
    instance = Instance(0)
    found = instance.serve(builders.CELL)
    demand(found, a=20.0, b=20.0)
    for number in range(200):
        instance.sharing.advance(builders.instant(number * 0.05))
    to_one = instance.mesh.to(8001, accountreports.AccountUse)
    demands = [sum(one.demand for one in sent.content.figures) for sent in to_one]
    assert len(demands) == 4
    assert all(now < before for before, now in itertools.pairwise(demands))
    assert demands[-2] > SLOTS > demands[-1]


def test_a_new_dispatcher_goes_on_from_the_last_message():
    """Guards against a flood that gets a new share from each new dispatcher."""
    first, second = Instance(0), Instance(1)
    found = first.serve(builders.CELL)
    run(found, "hot", 8)
    demand(found, hot=30.0, other=2.0)
    first.sharing.advance(builders.instant(0.0))
    (told,) = [sent.content for sent in first.mesh.to(8001, accountreports.AccountUse)]
    receive(second, told, 0.0, sender=0)
    taken = second.serve(builders.CELL, 0.5)
    account = taken.accounts.tiers[1].accounts[ids.AccountId("hot")]
    assert account.demand == pytest.approx(30.0, rel=0.1)
    assert account.average == pytest.approx(8.0 * math.exp(-1.0), rel=0.1)
    run(taken, "hot", 1, 0.5)
    assert account.total_use == pytest.approx(8.0 * math.exp(-1.0), rel=0.1)
    # What the message told counts once.
    second.sharing.advance(builders.instant(0.6))
    assert account.use_elsewhere == account.demand_elsewhere == 0.0


@pytest.mark.parametrize("seed", accountload.SEEDS)
def test_a_takeover_during_a_flood_does_not_delay_the_others(seed: int):
    """Guards against a dispatcher's death that lets a flood take all slots.

    The dispatcher dies 4 s after the flood began; one second later the entries send
    all their tickets to the next one, which was told the use 0.5 s before the death.
    """
    flood = accountload.Demand("hot", 29 * USUAL, 6.0, 14.0)
    demands = [accountload.Demand(one, USUAL) for one in (*SMALL, "hot")]
    requests = accountload.arrivals([*demands, flood], seed)
    first, second = Instance(0), Instance(1)
    servers = [builders.server(f"s{n}", count) for n, count in enumerate((5,) * 6)]
    of_cell = builders.cell(*servers)
    for one in (first, second):
        one.cells[builders.CELL] = of_cell
    played = accountload.Play(first.serve(builders.CELL), requests).run(9.5)
    first.sharing.advance(builders.instant(9.5))
    told = first.mesh.to(8001, accountreports.AccountUse)[-1].content
    receive(second, told, 9.5, sender=0)
    played.run(10.0)
    played.kill()
    played.run(11.0)
    played.take_over(second.serve(builders.CELL, 11.0), 11.0)
    played.run()
    others = [one for one in played.of(*SMALL) if 11.0 <= one.at < 14.0]
    assert accountload.share_in_time(others) >= 0.9


def test_two_dispatchers_share_one_sum():
    """Guards against an account that gets a share in each cell of a service.

    Here `b` uses more than half of the cell; over both cells, `a` uses most.
    """
    instance = Instance(0, cell_count=2)
    found = instance.serve(builders.CELL)
    run(found, "a", 4)
    run(found, "b", 6)
    demand(found, a=6.0, b=6.0)
    assert not is_over(found, "a", 0.1)
    assert is_over(found, "b", 0.1)
    receive(instance, use(figures("a", 12.0, 12.0)), 0.1)
    assert is_over(found, "a", 0.1)
    assert not is_over(found, "b", 0.1)


def test_cells_of_one_instance_share_one_sum():
    """Guards against cells that are counted apart since no message is sent.

    Here `b` uses more than half of its cell, but less than half of both.
    """
    instance = Instance(0, cell_count=2)
    found, other = instance.serve(builders.CELL), instance.serve(OTHER_CELL)
    run(other, "a", 10)
    demand(other, a=24.0)
    run(found, "a", 4)
    run(found, "b", 6)
    demand(found, a=6.0, b=6.0)
    assert is_over(found, "b", 0.1)
    instance.sharing.advance(builders.instant(0.1))
    assert not is_over(found, "b", 0.2)


def test_a_cell_with_two_dispatchers_has_its_slots_once():
    """Guards against a partition that seems to double the capacity."""
    instance = Instance(0)
    found = instance.serve(builders.CELL)
    receive(instance, use(figures("a", 8.0, 5.0), cell_id=builders.CELL), 0.0)
    run(found, "a", 3)
    demand(found, a=4.0, b=4.0)
    assert is_over(found, "a", 0.1)


def test_the_recipients_are_successors_and_other_dispatchers():
    instance = Instance(0, count=6, cell_count=2)
    now = builders.instant(0.0)
    found = instance.sharing.recipients(builders.CELL, now)
    near = instance.cells[builders.CELL].data_centre
    ranked = instance.members.rank(builders.CELL, now, near)
    other = instance.members.rank(OTHER_CELL, now, near)[0]
    wanted = {*ranked[: accountreports.SUCCESSORS + 1], other}
    assert found == wanted - {instance.members.own.instance}


def test_a_stale_message_is_ignored():
    """Guards against a dead or cut off dispatcher whose use counts for ever."""
    instance = Instance(0, cell_count=2)
    found = instance.serve(builders.CELL)
    run(found, "a", 4)
    receive(instance, use(figures("a", 30.0, 18.0)), 0.0)
    demand(found, a=1.0, b=1.0)
    assert is_over(found, "a", 0.1)
    instance.sharing.advance(builders.instant(2.1))
    assert not is_over(found, "a", 2.2)
    assert instance.sharing.heard == {}
    receive(instance, use(figures("a", 30.0, 12.0), cell_id=OTHER_CELL), 3.0)
    late = instance.serve(OTHER_CELL, 5.1)
    assert not late.accounts.figures()


@pytest.mark.parametrize(
    ("told", "named"),
    [
        (use(figures("a", math.nan, 1.0)), "demand of a"),
        (use(figures("a", 1.0, -1.0)), "use of a"),
        (use(figures("a", 1.0, 1.0), slots=math.inf), "slots"),
        (use(cell_id=ids.CellId("others/0")), "service"),
    ],
)
def test_a_message_with_invalid_figures_is_ignored(
    told: accountreports.AccountUse, named: str
):
    """Guards against a figure of a faulty peer that puts an account last for ever."""
    instance = Instance(0, cell_count=2)
    instance.serve(builders.CELL)
    valid = use(figures("a", 2.0, 2.0))
    receive(instance, valid, 0.0)
    with logbook.TestHandler() as written:
        receive(instance, told, 0.1)
        receive(instance, told, 0.2)
    (line,) = [record.message for record in written.records]
    assert named in line
    assert [one.told for one in instance.sharing.heard.values()] == [valid]


def test_a_message_that_cannot_be_decoded_is_rejected():
    codec = message.Codec()
    codec.register(accountreports.AccountUse)
    content = msgspec.msgpack.encode(["AccountUse", SERVICE, OTHER_CELL, "many", []])
    with pytest.raises(errors.PeerError):
        codec.decode(content)


def test_a_message_stays_small_with_many_accounts():
    """Guards against messages that grow with the number of accounts."""
    instance = Instance(0)
    found = instance.serve(builders.CELL)
    names = [f"an-account-with-a-long-name-{number}" for number in range(2000)]
    demand(found, **{name: 1.0 + number for number, name in enumerate(names)})
    instance.sharing.advance(builders.instant(0.0))
    told = instance.told()[0]
    content = message.Codec().encode(told)
    assert len(content) < 4096
    total = sum(one.demand for one in told.figures)
    assert total == pytest.approx(sum(range(1, 2001)))


def test_accounts_that_are_summed_up_reduce_the_level():
    """Guards against a level that leaves out what small accounts demand."""
    instance = Instance(0, cell_count=2)
    found = instance.serve(builders.CELL)
    run(found, "a", 9)
    demand(found, a=20.0)
    receive(instance, use(figures("", 15.0, 15.0)), 0.0)
    assert is_over(found, "a", 0.1)
