"""One batch item between its acceptance and its result."""

import dataclasses

import anyio

from foxtailbank.forward.event_stream import EventCutter
from foxtailbank.submissions.records import Item, Progress
from foxtailbank.submissions.submission import Submission


@dataclasses.dataclass(kw_only=True)
class ItemRun:
    """Progress of an item on this VM.

    Attributes
    ----------
    submission : Submission
        What it belongs to.
    item : Item
        What is run.
    due_ms : int
        When its result is due, on this VM's clock.
    texts : list of str
        Data of the events so far.
    cutter : EventCutter
        Cuts the stream; holds the id of the last whole event.
    worker_id : str
        Worker that runs it now, or ran it last.
    scope : anyio.CancelScope or None
        Cancels the present run; None while it waits.
    not_before_ms : int
        Earliest next try.
    failed_on : set of str
        Workers that failed it.
    tries : int
        How often it was sent.
    saved_count : int
        Events whose data stands in the log.
    saved_ms : int
        When progress was last saved, or first made.
    is_done : bool
        Whether its result is on the way to the log.
    """

    submission: Submission
    item: Item
    due_ms: int
    texts: list[str] = dataclasses.field(default_factory=list)
    cutter: EventCutter = dataclasses.field(default_factory=EventCutter)
    worker_id: str = ""
    scope: anyio.CancelScope | None = None
    not_before_ms: int = 0
    failed_on: set[str] = dataclasses.field(default_factory=set)
    tries: int = 0
    saved_count: int = 0
    saved_ms: int = 0
    is_done: bool = False

    def resume_from(self, progress: Progress) -> None:
        """Go on from what another process saved."""
        self.texts = list(progress.texts)
        self.cutter.last_id = progress.after_event
        self.saved_count = len(self.texts)

    @property
    def key(self) -> tuple[str, str]:
        """Submission and item."""
        return (self.submission.submission_id, self.item.item_id)

    @property
    def is_running(self) -> bool:
        """Whether a worker has it."""
        return self.scope is not None

    def stop(self) -> None:
        """Cancel the present run; its progress stays."""
        if self.scope is not None:
            self.scope.cancel()
