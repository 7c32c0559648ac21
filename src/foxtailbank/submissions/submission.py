"""State of one accepted submission."""

import dataclasses

from foxtailbank.submissions.records import Item, Listed, Progress


@dataclasses.dataclass(kw_only=True)
class Submission:
    """An accepted submission as the log tells it.

    Attributes
    ----------
    submission_id, route, host, target : str
        As submitted.
    arrived_wall_ms : int
        When it was taken.
    owner : str
        Process that runs its items.
    generation : int
        How often it was taken over.
    items_by_id : dict of str to Item
        All items, in the order of submission.
    results : list of Listed
        Ended items; the place in the list is the position that clients see.
    listed_ids : set of str
        Ids of ended items.
    failures_by_id : dict of str to int
        Failed attempts of each item.
    progress_by_id : dict of str to Progress
        Output so far of items that ran.
    ended : bool
        Whether the client ended it.
    keys : set of str
        Keys of its records, by which they are dropped.
    """

    submission_id: str
    route: str
    host: str
    target: str
    arrived_wall_ms: int
    owner: str
    items_by_id: dict[str, Item]
    generation: int = 0
    results: list[Listed] = dataclasses.field(default_factory=list)
    listed_ids: set[str] = dataclasses.field(default_factory=set)
    failures_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    progress_by_id: dict[str, Progress] = dataclasses.field(default_factory=dict)
    ended: bool = False
    keys: set[str] = dataclasses.field(default_factory=set)

    @property
    def is_open(self) -> bool:
        """Whether items are left to run."""
        return not self.ended and len(self.listed_ids) < len(self.items_by_id)

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items that are left."""
        if self.ended:
            return 0
        return sum(
            item.tokens
            for item_id, item in self.items_by_id.items()
            if item_id not in self.listed_ids
        )

    def waiting_items(self) -> list[Item]:
        """Return the items that are left, in order."""
        if self.ended:
            return []
        return [
            item
            for item_id, item in self.items_by_id.items()
            if item_id not in self.listed_ids
        ]
