"""Tells the other entry VMs which software began a stream, and asks them."""

import abc
import typing as t

import anyio

from foxtailbank import rendezvous
from foxtailbank.address import Address
from foxtailbank.clock import MS_PER_S, Clock
from foxtailbank.fleet.distance_tiers import DistanceTiers
from foxtailbank.fleet.load_report import MAX_STREAMS, LoadReport
from foxtailbank.fleet.peer_table import Peer, PeerTable
from foxtailbank.fleet.report_intervals import MIN_INTERVAL_MS
from foxtailbank.fleet.stream_origin import StreamReport
from foxtailbank.forward.stream_origins import StreamOrigins

# In a large fleet, peers that hear of a stream; the others ask.
INFORMED_PEERS = 3
REPEAT_MS = 50  # an answer arrives sooner unless a datagram was lost


class ReportSender(abc.ABC):
    """Sends load reports that carry more than the usual ones."""

    @abc.abstractmethod
    def send_report(
        self,
        targets: t.Iterable[Address],
        *,
        streams: tuple[StreamReport, ...] = (),
        questions: tuple[int, ...] = (),
    ) -> None:
        """Send a report at once.

        Parameters
        ----------
        targets : iterable of Address
            Other VMs.
        streams : tuple of StreamReport
            Origins to tell besides the recent ones of this VM.
        questions : tuple of int
            Streams whose origin is asked for.
        """


class StreamExchange:
    """Spreads the origins of streams by means of load reports.

    Parameters
    ----------
    vm_id : str
        This VM.
    origins : StreamOrigins
        What is known of streams.
    peers : PeerTable
        The other VMs.
    tiers : DistanceTiers
        Knows whether usual load reports come too late.
    sender : ReportSender
        Sends reports.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        origins: StreamOrigins,
        peers: PeerTable,
        tiers: DistanceTiers,
        sender: ReportSender,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._origins = origins
        self._peers = peers
        self._tiers = tiers
        self._sender = sender
        self._clock = clock
        self._asked = anyio.Event()
        origins.add_begin_listener(self._inform_peers)
        origins.add_question_listener(lambda: self._asked.set())

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._asked.wait()
            self._asked = anyio.Event()
            await self._ask()

    def on_report(self, report: LoadReport, address: Address) -> None:
        """Apply what a report says of streams, and answer what it asks."""
        for stream in report.streams:
            self._origins.on_report(stream)
        known = tuple(
            StreamReport(key=key, origin=origin)
            for key in report.questions
            if (origin := self._origins.get(key)) is not None
        )
        if known:
            self._sender.send_report((address,), streams=known)

    def _inform_peers(self) -> None:
        """Tell peers before the client has an event, as this VM may be killed then."""
        peers = self._peers.alive(self._clock.now_ms())
        if self._tiers.is_large_fleet:
            peers = tuple(sorted(peers, key=self._distance)[:INFORMED_PEERS])
        self._sender.send_report(peer.address for peer in peers)

    def _distance(self, peer: Peer) -> tuple[bool, float]:
        is_far = not self._peers.is_near(peer)
        return (is_far, rendezvous.score(self._vm_id, peer.vm_id))

    async def _ask(self) -> None:
        while questions := self._origins.questions()[:MAX_STREAMS]:
            alive = self._peers.alive(self._clock.now_ms())
            targets = [peer.address for peer in alive]
            self._sender.send_report(targets, questions=questions)
            with anyio.move_on_after(REPEAT_MS / MS_PER_S):
                await self._asked.wait()
                self._asked = anyio.Event()
                await anyio.sleep(MIN_INTERVAL_MS / MS_PER_S)
