"""What one gateway says to others about allotments, and decides by their answers.

Handles requests that no lease covers, homes that don't answer, and gateways that have
different lists of each other. It has no clock and sends nothing itself: messages wait
in an outbox.
"""

from __future__ import annotations

import functools
import hashlib
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from agatehoist.core.address import Address
from agatehoist.limits.allotment_leases import AllotmentLeases, AskNeeded, refusal_s
from agatehoist.limits.allotments import (
    DELEGATION_S,
    AllotmentAsk,
    AllotmentGrant,
    AllotmentHome,
    Terms,
)
from agatehoist.limits.endpoint_permits import ranked_homes
from agatehoist.limits.types import LEASE_S

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from agatehoist.limits.types import AllotmentBounds, Verdict

# Homes get the delegations and asks of a gateway at this interval, so that two of them
# may be lost before a delegation ends.
TICK_S = 0.25
# A request waits so long for the answer of a home; one in another data centre answers
# within a few milliseconds.
ANSWER_WITHIN_S = 0.1
# The next home by rank is asked too after this time.
SECOND_ASK_AFTER_S = 0.05
# A gateway that hasn't run for longer can't tell whether a home has answered.
SUSPENDED_S = 0.4
# Older asks have been given up.
STALE_ASK_S = 0.5
# Homes that are asked in turn, and how often one that gives no answer is tried. In a
# partition the first ones may all be on the other side.
MAX_HOMES = 8
PING_INTERVAL_S = 0.25
# A home that gets no asks has to answer once in so many ticks, and is avoided when it
# has missed two answers, since a busy process may miss one.
TICKS_PER_ANSWER = 2
MAX_MISSED = 2
# A gateway that isn't listed yet doesn't know how many others there are; with 64
# assumed, a fleet of 68 whose gateways are listed within 2 s exceeded the bound of a
# small allotment (1.04 of it).
INITIAL_NODE_COUNT = 128
# A higher count of gateways that another one has stated holds for this time.
HEARD_COUNT_S = 10.0
# A gateway tells all others of its start in so many ticks.
START_TICKS = 2
# An ask takes some 80 bytes of a datagram.
MAX_ASKS = 12
DIGEST_BYTES = 4
NO_TERMS = Terms(0, 0.0, 0.0)
MAX_SENT = 4096
MAX_UNLISTED = 1024
# A timer may end this much early by the clock.
TIMER_ROUNDING_S = 0.005


@dataclass(frozen=True, slots=True)
class AskBatch:
    """Hold what a gateway tells and asks of another one in one message.

    With `delegates` the receiver may use the sender's shares of the organisations
    whose home it is, if both list the same gateways; without it only the sender may.
    Each ask delegates the share of its organisation. `is_new` asks for the receiver's
    delegation, and `wants_answer` for an answer even without asks.
    """

    sender: Address
    number: int
    node_count: int
    nodes_digest: bytes
    delegates: bool
    is_new: bool
    wants_answer: bool
    asks: tuple[AllotmentAsk, ...]


@dataclass(frozen=True, slots=True)
class GrantBatch:
    """Answer the batch of asks with the same number."""

    number: int
    node_count: int
    grants: tuple[AllotmentGrant, ...]


@dataclass(frozen=True, slots=True)
class _Sent:
    home: Address
    sent_at: float
    organisations: tuple[bytes, ...]
    is_second: bool
    is_needed: bool


class WaitingRequest:
    """Hold a request until it is decided; `decided_by` says from what."""

    def __init__(self, cost: float, decided: Callable[[], None]) -> None:
        self.cost = cost
        self.verdict: Verdict | None = None
        self.decided_by = ""
        self._decided = decided

    def decide(self, verdict: Verdict, by: str) -> None:
        """Set the verdict and wake whoever waits for it."""
        self.verdict = verdict
        self.decided_by = by
        self._decided()


class AllotmentNode:
    """Decide on the requests at one gateway together with the other gateways."""

    def __init__(
        self,
        own: Address,
        bounds: AllotmentBounds,
        first_number: int,
        note_contact: Callable[[Address, bool], None],
    ) -> None:
        self.home = AllotmentHome(own, bounds)
        self.leases = AllotmentLeases()
        self.outbox: list[tuple[Address, AskBatch | GrantBatch]] = []
        self._own = own
        self._number = first_number
        self._note_contact = note_contact
        self._nodes: frozenset[Address] = frozenset({own})
        self._is_listed = False
        self._terms_by_organisation: Mapping[bytes, Terms] = {}
        self._table_version = 0
        self._heard_count = 0
        self._heard_until = 0.0
        self._unlisted_until_by_node: dict[Address, float] = {}
        self._waiting_by_organisation: dict[bytes, deque[WaitingRequest]] = {}
        self._asking_until_by_organisation: dict[bytes, float] = {}
        self._asked_home_by_organisation: dict[bytes, Address] = {}
        # Homes that may still count a share which was taken back, by organisation.
        self._taken_back_until: dict[tuple[bytes, Address], float] = {}
        self._sent_by_number: dict[int, _Sent] = {}
        self._overdue_numbers: set[int] = set()
        # Homes that gave no answer, with the time of the next ping.
        self._ping_at_by_home: dict[Address, float] = {}
        self._missed_by_home: dict[Address, int] = {}
        self._tick_count = 0
        self._ticked_at = -math.inf
        self._start_ticks = START_TICKS

    def set_nodes(self, nodes: frozenset[Address]) -> None:
        """Set the listed gateways."""
        self._is_listed = self._own in nodes
        self._nodes = nodes if self._is_listed else nodes | {self._own}

    def set_table(self, terms: Mapping[bytes, Terms], version: int) -> None:
        """Set the allotments of the configuration in force."""
        self._terms_by_organisation = terms
        self._table_version = version

    def hear_unlisted(self, node: Address, now: float) -> None:
        """Count a gateway that sends messages but isn't listed yet.

        Gateways that start together list those that registered before them.
        """
        if len(self._unlisted_until_by_node) < MAX_UNLISTED:
            self._unlisted_until_by_node[node] = now + HEARD_COUNT_S

    def node_count(self, now: float) -> int:
        """Return how many gateways share the allotments, by the longest list."""
        count = self._stated_count(now)
        if not self._is_listed:
            count = max(count, INITIAL_NODE_COUNT)
        return max(count, self._heard_count) if now < self._heard_until else count

    def _stated_count(self, now: float) -> int:
        """Return the count to state to others: without assumed or heard ones.

        Others would hold a count that is assumed at the start for seconds, and one
        that is heard and stated again would never end.
        """
        unlisted = self._unlisted_until_by_node.items()
        count = len(self._nodes)
        return count + sum(
            now < until for node, until in unlisted if node not in self._nodes
        )

    def request(
        self,
        organisation: bytes,
        terms: Terms,
        cost: float,
        decided: Callable[[], None],
        now: float,
    ) -> WaitingRequest:
        """Decide on a request now, or let it wait for a home."""
        waiting = WaitingRequest(cost, decided)
        queue = self._waiting_by_organisation.get(organisation)
        if not queue:
            verdict = self.leases.take(organisation, terms, cost, now)
            if not isinstance(verdict, AskNeeded):
                waiting.decide(verdict, "lease")
                return waiting
        if self._home_to_ask(organisation) is None:
            self._decide_locally(organisation, terms, waiting, now)
            return waiting
        if queue is None:
            queue = self._waiting_by_organisation[organisation] = deque()
        queue.append(waiting)
        if now >= self._asking_until_by_organisation.get(organisation, 0.0):
            self._ask_for_waiting(organisation, terms, now)
        return waiting

    def ask_second(self, organisation: bytes, terms: Terms, now: float) -> None:
        """Ask the next home too, for requests that have waited for the first one."""
        self._avoid_silent_homes(now, SECOND_ASK_AFTER_S)
        second = self._home_to_ask(organisation)
        if second is None or not self._waiting_by_organisation.get(organisation):
            return
        if second != self._asked_home_by_organisation.get(organisation):
            self._ask_home(second, organisation, terms, now, is_second=True)

    def give_up(
        self, organisation: bytes, terms: Terms, waiting: WaitingRequest, now: float
    ) -> None:
        """Decide on a request whose home hasn't answered from the local share."""
        queue = self._waiting_by_organisation.get(organisation, deque())
        if waiting in queue:
            queue.remove(waiting)
        self._avoid_silent_homes(now, ANSWER_WITHIN_S)
        self._decide_locally(organisation, terms, waiting, now)
        self._asking_until_by_organisation.pop(organisation, None)
        if queue and self._home_to_ask(organisation) is not None:
            self._ask_for_waiting(organisation, terms, now)

    def withdraw(self, organisation: bytes, waiting: WaitingRequest) -> None:
        """Forget a request that waits no longer."""
        queue = self._waiting_by_organisation.get(organisation, deque())
        if waiting in queue:
            queue.remove(waiting)

    def receive_asks(self, batch: AskBatch, sent_after: float, now: float) -> None:
        """Answer the asks of another gateway, sent after a time of this clock."""
        self._hear_count(batch.node_count, now)
        if now - sent_after > STALE_ASK_S:
            return
        until = sent_after + DELEGATION_S
        if not batch.delegates:
            self.home.withdraw_delegation(batch.sender)
        elif batch.nodes_digest == _digest(self._nodes):
            self.home.note_delegation(batch.sender, until)
        grants = tuple(
            self._answer(batch.sender, each, until, now) for each in batch.asks
        )
        if batch.is_new:
            self._ping_at_by_home.pop(batch.sender, None)
            if batch.sender in self._homes():
                self._send(batch.sender, (), now)
        if grants or batch.wants_answer:
            reply = GrantBatch(batch.number, self._stated_count(now), grants)
            self.outbox.append((batch.sender, reply))

    def receive_grants(self, batch: GrantBatch, now: float) -> None:
        """Apply the answer of a home, and decide on the requests that wait for it."""
        self._hear_count(batch.node_count, now)
        sent = self._sent_by_number.pop(batch.number, None)
        if sent is None:
            return
        self._missed_by_home.pop(sent.home, None)
        if self._ping_at_by_home.pop(sent.home, None) is not None:
            self._note_contact(sent.home, True)
            if sent.home in self._homes():
                self._send(sent.home, (), now)
        for grant in batch.grants:
            # The first home may still have what the second one hasn't.
            is_useless = sent.is_second and grant.retry_s > 0
            if grant.organisation in sent.organisations and not is_useless:
                self._apply(grant, sent.sent_at, now)

    def tick(self, now: float) -> None:
        """Refill the buckets, renew leases and delegations, and ask ahead."""
        if now - self._ticked_at < SUSPENDED_S:
            self._avoid_silent_homes(now, TICK_S)
        self._ticked_at = now
        self._tick_count += 1
        own_terms = {
            organisation: terms
            for organisation, terms in self._terms_by_organisation.items()
            if self.home_of(organisation) == self._own
        }
        self.home.tick(own_terms, self.node_count(now), now)
        asks_by_home = self._asks_ahead(now)
        for home in self._homes():
            if home not in self._ping_at_by_home:
                asks_by_home.setdefault(home, [])
        wants_answer = self._tick_count % TICKS_PER_ANSWER == 0
        for home, asks in asks_by_home.items():
            for first in range(0, max(1, len(asks)), MAX_ASKS):
                batch = tuple(asks[first : first + MAX_ASKS])
                self._send(home, batch, now, wants_answer=wants_answer)
        self._ping(now)
        self._repeat_taking_back(now)
        self._announce_start(now)
        for node, until in tuple(self._unlisted_until_by_node.items()):
            if until <= now:
                del self._unlisted_until_by_node[node]

    def _asks_ahead(self, now: float) -> dict[Address, list[AllotmentAsk]]:
        asks_by_organisation = {
            each.organisation: each for each in self.leases.asks_ahead(now)
        }
        asks_by_home: dict[Address, list[AllotmentAsk]] = {}
        self._forget_idle_organisations()
        for organisation in self.leases.organisations():
            home = self._home_to_ask(organisation)
            if home is None:
                continue
            ask = asks_by_organisation.get(organisation)
            if home == self._own:
                if ask is not None:
                    grant = self._answer(home, ask, now + DELEGATION_S, now)
                    self._apply(grant, now, now)
                continue
            self.leases.note_delegated(organisation, now)
            self._note_asked_home(organisation, home, now)
            # The first home gets the shares with each message, a stand-in by an ask.
            if ask is None and home != self.home_of(organisation):
                ask = self.leases.idle_ask(organisation)
            if ask is not None:
                asks_by_home.setdefault(home, []).append(ask)
        return asks_by_home

    def _forget_idle_organisations(self) -> None:
        kept = set(self.leases.organisations())
        for each in self._asked_home_by_organisation.keys() - kept:
            del self._asked_home_by_organisation[each]
            self._asking_until_by_organisation.pop(each, None)
            self._waiting_by_organisation.pop(each, None)

    def _ping(self, now: float) -> None:
        for home, ping_at in tuple(self._ping_at_by_home.items()):
            if home not in self._nodes:
                del self._ping_at_by_home[home]
                self._missed_by_home.pop(home, None)
            elif ping_at <= now:
                self._ping_home(home, now)

    def _ping_home(self, home: Address, now: float) -> None:
        """Ask an avoided home for an answer, and take back the shares it has."""
        self._ping_at_by_home[home] = now + PING_INTERVAL_S
        self._send(home, (), now, delegates=False, wants_answer=True)

    def _announce_start(self, now: float) -> None:
        if self._start_ticks and self._is_listed and self._terms_by_organisation:
            self._start_ticks -= 1
            for node in self._nodes - {self._own}:
                # Delegates only to homes; others have no use for the shares.
                self._send(node, (), now, is_new=True)

    def _answer(
        self, sender: Address, ask: AllotmentAsk, until: float, now: float
    ) -> AllotmentGrant:
        is_limited = ask.organisation in self._terms_by_organisation
        if not is_limited and self._table_version > ask.terms.version:
            # The allotment has been removed.
            unlimited = Terms(self._table_version, 0.0, 0.0)
            return AllotmentGrant(ask.organisation, unlimited, ask.need + ask.wish)
        return self.home.ask(sender, ask, until, now)

    def _ask_for_waiting(self, organisation: bytes, terms: Terms, now: float) -> None:
        """Ask for what waiting requests need; this gateway answers itself at once."""
        while self._waiting_by_organisation.get(organisation):
            home = self._home_to_ask(organisation)
            if home is None:
                return
            until = now + ANSWER_WITHIN_S
            self._asking_until_by_organisation[organisation] = until
            self._ask_home(home, organisation, terms, now)
            if home != self._own:
                return

    def _ask_home(
        self,
        home: Address,
        organisation: bytes,
        terms: Terms,
        now: float,
        is_second: bool = False,
    ) -> None:
        self._note_asked_home(organisation, home, now)
        queue = self._waiting_by_organisation[organisation]
        costs = tuple(each.cost for each in queue)
        ask = self.leases.ask(organisation, terms, costs, now)
        if home == self._own:
            grant = self._answer(home, ask, now + DELEGATION_S, now)
            self._apply(grant, now, now, asks_again=False)
        else:
            self._send(home, (ask,), now, is_second=is_second, is_needed=True)

    def _note_asked_home(self, organisation: bytes, home: Address, now: float) -> None:
        """Take back the share from a home that has stood in, before another gets it."""
        before = self._asked_home_by_organisation.get(organisation, home)
        self._asked_home_by_organisation[organisation] = home
        if before != home and before not in self._ping_at_by_home:
            self._taken_back_until[organisation, before] = now + DELEGATION_S
            self._take_back_share(organisation, before, now)

    def _take_back_share(self, organisation: bytes, home: Address, now: float) -> None:
        terms = self._terms_by_organisation.get(organisation, NO_TERMS)
        taken_back = AllotmentAsk(organisation, terms, delegates=False)
        if home == self._own:
            self.home.ask(home, taken_back, now, now)
        else:
            self._send(home, (taken_back,), now)

    def _repeat_taking_back(self, now: float) -> None:
        """Tell homes again that they have lost a share, as messages may be lost."""
        for (organisation, home), until in tuple(self._taken_back_until.items()):
            is_asked = self._asked_home_by_organisation.get(organisation) == home
            if until <= now or is_asked:
                del self._taken_back_until[organisation, home]
            elif home not in self._ping_at_by_home:
                self._take_back_share(organisation, home, now)

    def _apply(
        self,
        grant: AllotmentGrant,
        sent_at: float,
        now: float,
        asks_again: bool = True,
    ) -> None:
        refused_s = refusal_s(self.node_count(now))
        is_own = self._home_to_ask(grant.organisation) == self._own
        self.leases.apply(grant, sent_at, 0.0 if is_own else refused_s, now)
        self._asking_until_by_organisation.pop(grant.organisation, None)
        queue = self._waiting_by_organisation.get(grant.organisation)
        while queue:
            verdict = self.leases.take(
                grant.organisation, grant.terms, queue[0].cost, now
            )
            if isinstance(verdict, AskNeeded):
                break
            queue.popleft().decide(verdict, "home")
        if queue and asks_again:
            self._ask_for_waiting(grant.organisation, grant.terms, now)

    def _decide_locally(
        self, organisation: bytes, terms: Terms, waiting: WaitingRequest, now: float
    ) -> None:
        verdict = self.leases.take_locally(
            organisation, terms, waiting.cost, self.node_count(now), now
        )
        waiting.decide(verdict, "local share")

    def _avoid_silent_homes(self, now: float, after_s: float) -> None:
        """Avoid the homes that haven't answered for a time.

        A late answer is still of use until the lease in it expires.
        """
        for number, sent in tuple(self._sent_by_number.items()):
            silent_s = now - sent.sent_at + TIMER_ROUNDING_S
            if silent_s >= LEASE_S:
                del self._sent_by_number[number]
            if silent_s < after_s or number in self._overdue_numbers:
                continue
            self._overdue_numbers.add(number)
            # Otherwise this process was suspended, and the answer may have come.
            if silent_s < after_s + SUSPENDED_S:
                self._note_missed(sent, now)
        self._overdue_numbers &= self._sent_by_number.keys()

    def _note_missed(self, sent: _Sent, now: float) -> None:
        missed = self._missed_by_home.get(sent.home, 0) + 1
        self._missed_by_home[sent.home] = missed
        is_avoided = sent.home in self._ping_at_by_home
        if not is_avoided and (sent.is_needed or missed >= MAX_MISSED):
            self._note_contact(sent.home, False)
            self._ping_home(sent.home, now)

    def _hear_count(self, count: int, now: float) -> None:
        if count >= self._heard_count or now >= self._heard_until:
            self._heard_count = count
            self._heard_until = now + HEARD_COUNT_S

    def home_of(self, organisation: bytes) -> Address:
        """Return the home of an organisation."""
        return ranked_homes(organisation, self._nodes)[0]

    def _reachable_homes(self, organisation: bytes) -> Iterator[Address]:
        for home in ranked_homes(organisation, self._nodes)[:MAX_HOMES]:
            if home not in self._ping_at_by_home:
                yield home

    def _home_to_ask(self, organisation: bytes) -> Address | None:
        return next(self._reachable_homes(organisation), None)

    def _homes(self) -> frozenset[Address]:
        """Return the homes of all organisations, without this gateway."""
        homes = (self.home_of(each) for each in self._terms_by_organisation)
        return frozenset(homes) - {self._own}

    def _send(
        self,
        home: Address,
        asks: tuple[AllotmentAsk, ...],
        now: float,
        delegates: bool = True,
        is_new: bool = False,
        wants_answer: bool = False,
        is_second: bool = False,
        is_needed: bool = False,
    ) -> None:
        self._number += 1
        organisations = tuple(each.organisation for each in asks)
        if asks or wants_answer:
            sent = _Sent(home, now, organisations, is_second, is_needed)
            self._sent_by_number[self._number] = sent
            while len(self._sent_by_number) > MAX_SENT:
                del self._sent_by_number[next(iter(self._sent_by_number))]
        batch = AskBatch(
            self._own,
            self._number,
            self._stated_count(now),
            _digest(self._nodes),
            delegates,
            is_new,
            wants_answer,
            asks,
        )
        self.outbox.append((home, batch))


@functools.lru_cache(8)
def _digest(nodes: frozenset[Address]) -> bytes:
    """Return a digest by which gateways see that they list the same ones."""
    text = "/".join(sorted(str(each) for each in nodes))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
