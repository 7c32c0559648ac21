"""State of one accepted submission."""

import dataclasses

from foxtailbank.submissions.records import Item, ItemEnded, Progress


@dataclasses.dataclass(kw_only=True)
class Submission:
    """An accepted submission, as derived from the log.

    Attributes
    ----------
    submission_id, route, host, target : str
        As submitted.
    arrived_wall_ms : int
        Arrival time by the wall clock, in milliseconds.
    owner : str
        Process that runs its items, as ``vm/incarnation``.
    generation : int
        Number of times it was taken over.
    items_by_id : dict of str to Item
        All items, in the order of submission.
    results : list of ItemEnded
        Ended items; the list index is the position that clients see.
    ended_item_ids : set of str
        Ids of ended items.
    failures_by_id : dict of str to int
        Number of failed attempts of each item.
    progress_by_id : dict of str to Progress
        Saved output of unfinished items.
    ended : bool
        True if the client ended it.
    customer : str
        Name of the customer that it belongs to; empty for none.
    is_public : bool
        Whether its route needed no key, where customers hold keys.
    created_key : str
        Log key of the record that created it; empty until the table sets it.
    record_keys : set of str
        Log keys of its records, needed to drop them.
    text_keys : set of str
        Keys of its items' outputs in the log of texts, needed to drop them.
    """

    submission_id: str
    route: str
    host: str
    target: str
    arrived_wall_ms: int
    owner: str
    items_by_id: dict[str, Item]
    generation: int = 0
    results: list[ItemEnded] = dataclasses.field(default_factory=list)
    ended_item_ids: set[str] = dataclasses.field(default_factory=set)
    failures_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    progress_by_id: dict[str, Progress] = dataclasses.field(default_factory=dict)
    ended: bool = False
    customer: str = ""
    is_public: bool = False
    created_key: str = ""
    record_keys: set[str] = dataclasses.field(default_factory=set)
    text_keys: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_open(self) -> bool:
        """Whether items remain to be run."""
        return not self.ended and len(self.ended_item_ids) < len(self.items_by_id)

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the remaining items."""
        if self.ended:
            return 0
        return sum(
            item.tokens
            for item_id, item in self.items_by_id.items()
            if item_id not in self.ended_item_ids
        )

    def waiting_items(self) -> list[Item]:
        """Return the remaining items in the order of submission."""
        if self.ended:
            return []
        return [
            item
            for item_id, item in self.items_by_id.items()
            if item_id not in self.ended_item_ids
        ]
