"""An item that this VM runs."""

import dataclasses

import anyio

from foxtailbank.customers.customer import Customer, Identity
from foxtailbank.customers.share_counts import BATCH_POOL, customer_key
from foxtailbank.fleet.stream_origin import StreamOrigin
from foxtailbank.forward.call import Call
from foxtailbank.forward.event_stream import EventBuffer
from foxtailbank.headers import text_to_header
from foxtailbank.submissions.item_times import ItemTimes
from foxtailbank.submissions.records import Item, Progress
from foxtailbank.submissions.submission import Submission

TEXT_OVERHEAD_BYTES = 5  # of an event's data in a record, for its length


@dataclasses.dataclass(kw_only=True)
class ItemRun:
    """Progress of an item on this VM, from its acceptance to its result.

    Attributes
    ----------
    submission : Submission
        Submission that the item belongs to.
    item : Item
        Item to run.
    due_ms : int
        When its result is due, by this VM's monotonic clock.
    prompt_parts : tuple of int
        Digests of the prompt's parts that other requests may share.
    texts : list of str
        Data of the events received so far.
    origin : StreamOrigin or None
        Software that wrote these events; None without any.
    event_buffer : EventBuffer
        Splits the stream into events; holds the id of the last complete one.
    worker_id : str
        Worker that runs it now or ran it last.
    cancel_scope : anyio.CancelScope or None
        Cancels the current run; None while the item waits.
    not_before_ms : int
        Earliest time of the next send.
    route_missing_since_ms : int or None
        Since when the configuration has lacked the submission's route, as far as that
        was checked.
    blocked_since_ms : int or None
        Since when only workers of other software versions have free slots.
    avoided_worker_ids : set of str
        Ids of workers that failed or refused the item, until one of them is chosen
        again because no other is free.
    send_count : int
        Number of times it was sent to a worker.
    failure_count : int
        Number of errors that workers answered, those of earlier owners included.
    saved_event_count : int
        Number of events whose data is in the submission log.
    saved_ms : int
        When progress was last saved, initially when the run was created.
    times : ItemTimes
        Where its time went.
    is_done : bool
        True once its result is queued for the submission log.
    """

    submission: Submission
    item: Item
    due_ms: int
    prompt_parts: tuple[int, ...] = ()
    texts: list[str] = dataclasses.field(default_factory=list)
    origin: StreamOrigin | None = None
    event_buffer: EventBuffer = dataclasses.field(default_factory=EventBuffer)
    worker_id: str = ""
    cancel_scope: anyio.CancelScope | None = None
    not_before_ms: int = 0
    route_missing_since_ms: int | None = None
    blocked_since_ms: int | None = None
    avoided_worker_ids: set[str] = dataclasses.field(default_factory=set)
    send_count: int = 0
    failure_count: int = 0
    saved_event_count: int = 0
    saved_ms: int = 0
    times: ItemTimes = dataclasses.field(default_factory=ItemTimes)
    is_done: bool = False

    @classmethod
    def create(
        cls,
        submission: Submission,
        item: Item,
        *,
        due_ms: int,
        prompt_parts: tuple[int, ...],
        now_ms: int,
    ) -> "ItemRun":
        """Return a run that goes on from what earlier owners have saved."""
        run = cls(
            submission=submission,
            item=item,
            due_ms=due_ms,
            prompt_parts=prompt_parts,
            saved_ms=now_ms,
            failure_count=submission.failures_by_id.get(item.item_id, 0),
        )
        progress = submission.progress_by_id.get(item.item_id)
        if progress is not None:
            run.resume_from(progress)
        return run

    def resume_from(self, progress: Progress) -> None:
        """Resume from saved progress, unless no worker can go on with it.

        None can if the software that made it, or the last event, is unknown.
        """
        if progress.origin is None or not progress.after_event:
            return
        self.origin = progress.origin
        self.texts = list(progress.texts)
        self.event_buffer.start_from(progress.after_event, event_count=len(self.texts))
        self.saved_event_count = len(self.texts)

    def make_call(self, now_ms: int) -> Call:
        """Return the item's request, sent by the submission's customer if it has one.

        An accepted item runs also when its customer is gone from the configuration.
        """
        name = self.submission.customer
        identity = Identity(customer=Customer(name=name), key_hash="") if name else None
        return Call(
            request_id=text_to_header(self.item.item_id),
            method="POST",
            target=self.item.target,
            host=self.submission.host,
            headers=self.item.headers,
            body=self.item.body,
            arrived_ms=now_ms,
            identity=identity,
        )

    def discard_output(self) -> None:
        """Start again from the first event."""
        self.blocked_since_ms = None
        self.texts = []
        self.origin = None
        self.event_buffer.start_from("")
        self.saved_event_count = 0

    def discard_unfinished(self) -> None:
        """Discard what no worker can go on with, once a run has ended."""
        self.event_buffer.discard_partial_event()
        if not self.is_done and not self.event_buffer.position.can_continue:
            self.discard_output()

    @property
    def output_bytes(self) -> int:
        """Size of the output so far, as it is stored."""
        return sum(len(text.encode()) + TEXT_OVERHEAD_BYTES for text in self.texts)

    @property
    def key(self) -> tuple[str, str]:
        """Submission id and item id."""
        return (self.submission.submission_id, self.item.item_id)

    @property
    def customer_name(self) -> str:
        """Customer that submitted it; empty if it needed no key."""
        return self.submission.customer

    @property
    def customer_key(self) -> int | None:
        """Digest under which its customer's items are counted; None without one."""
        if not self.customer_name:
            return None
        return customer_key(service=BATCH_POOL, name=self.customer_name)

    @property
    def is_running(self) -> bool:
        """Whether it is being run on a worker."""
        return self.cancel_scope is not None

    @property
    def has_saved_progress(self) -> bool:
        """Whether this process or an earlier owner saved progress in the log."""
        if self.saved_event_count:
            return True
        return self.item.item_id in self.submission.progress_by_id

    def stop(self) -> None:
        """Cancel the current run and keep its progress."""
        if self.cancel_scope is not None:
            self.cancel_scope.cancel()
