"""The answer to a question, as it is sent to the command line."""

import enum

import msgspec

ASKS_FIRST = "asks_first"  # in place of a decision: the granting VM is asked


class Result(enum.Enum):
    """What becomes of the request."""

    WORKER = "worker"
    PEER = "peer"
    KEPT_BACK = "kept_back"
    REFUSED = "refused"


class RouteView(msgspec.Struct, frozen=True, kw_only=True):
    """The route that matches.

    Attributes
    ----------
    name, kind, path_prefix : str
        Name, class and path prefix.
    services : tuple of str
        Services that may run its requests.
    priority, target_ms, timeout_ms : int
        Its priority and times.
    is_public : bool
        Whether it needs no key.
    """

    name: str
    kind: str
    path_prefix: str
    services: tuple[str, ...]
    priority: int
    target_ms: int
    timeout_ms: int
    is_public: bool


class CustomerView(msgspec.Struct, frozen=True, kw_only=True):
    """Whose the request is.

    Attributes
    ----------
    name : str
        The customer; empty for none.
    needs_key : bool
        Whether the route needs a key.
    priority : int or None
        Its priority, if it is known.
    lease_is_fresh : bool
        Whether the configuration is recent enough for keys.
    """

    name: str
    needs_key: bool
    priority: int | None
    lease_is_fresh: bool


class LimitView(msgspec.Struct, frozen=True, kw_only=True):
    """Limit of the customer on requests, of which nothing is spent.

    Attributes
    ----------
    rate_per_s, burst : float
        Its limit.
    decision : str
        An outcome of `rate_wait`, or `ASKS_FIRST`; then the outcome is that of a
        request which gets a permit.
    granting_vm : str
        VM that grants its permits.
    permits_here : int
        Permits that this VM holds.
    permits_left : int or None
        Permits that can be granted; None if another VM knows.
    wait_ms : int
        Time until a permit is likely.
    answer_age_ms : int or None
        Age of the newest answer of a granting VM.
    """

    rate_per_s: float
    burst: float
    decision: str
    granting_vm: str
    permits_here: int
    permits_left: int | None
    wait_ms: int
    answer_age_ms: int | None


class ShareView(msgspec.Struct, frozen=True, kw_only=True):
    """Share of the customer on a service, for online requests.

    Attributes
    ----------
    service : str
        The service.
    in_flight : int
        The customer's requests on it that are known.
    share : float or None
        Slots that are its share; None while nobody is limited.
    is_exceeded : bool
        Whether one more request would be refused for it.
    age_ms : int
        Age of the oldest report that was counted.
    """

    service: str
    in_flight: int
    share: float | None
    is_exceeded: bool
    age_ms: int


class BatchView(msgspec.Struct, frozen=True, kw_only=True):
    """What decides on an item of this customer, if this VM ran it.

    Attributes
    ----------
    waiting_tokens, tokens_limit : int
        Tokens of the customer's waiting items on the route, and their limit; 0 for
        none.
    hold : str
        Why this VM starts no item at all; empty if it does.
    crash_pause_ms : int
        For how long the item is held back after crashes under its prompt.
    burst_is_on : bool
        Whether a burst of online requests is on.
    ahead : int
        Items of this VM that start before it.
    no_slot_ms : int
        How long this VM has found no slot for items of the route.
    items_in_flight : int
        Items of the customer that run on all VMs.
    has_floor, is_over_share : bool
        The customer's rank beside its priority; see `BatchRank`.
    """

    waiting_tokens: int
    tokens_limit: int
    hold: str
    crash_pause_ms: int
    burst_is_on: bool
    ahead: int
    no_slot_ms: int
    items_in_flight: int
    has_floor: bool
    is_over_share: bool


class CandidateView(msgspec.Struct, frozen=True, kw_only=True):
    """A worker of the route's services.

    Attributes
    ----------
    worker, service, zone, version : str
        The worker.
    slots, in_flight, own, room : int
        Its slots, requests on it that are known, those of this VM, and free slots.
    reserved : int
        Slots that items leave free; 0 for online requests.
    speed : float
        Against the mean of the service.
    answer_age_ms : int or None
        Age of this VM's last whole answer of it.
    is_reached : bool
        Whether it answered this VM last time.
    limit_wait_ms : int
        Time until its own limit lets another request pass.
    excluded : tuple of str
        Why it does not get the request at once; empty if it may.
    draws : int
        In how many of the draws it came first.
    """

    worker: str
    service: str
    zone: str
    version: str
    slots: int
    in_flight: int
    own: int
    room: int
    reserved: int
    speed: float
    answer_age_ms: int | None
    is_reached: bool
    limit_wait_ms: int
    excluded: tuple[str, ...]
    draws: int


class OutcomeView(msgspec.Struct, frozen=True, kw_only=True):
    """What becomes of the request.

    Attributes
    ----------
    result : Result
        What becomes of it.
    status : int
        Status of a refusal, or 202 of a submission; 0 otherwise.
    reason : str
        Why it is refused, kept back or carried by another VM.
    endpoint : str
        Worker or VM that gets it first.
    reserves : bool
        Whether a slot of the worker is reserved first, which it may refuse.
    wait_ms : int
        Expected wait for a slot, or time after which a refusal may end.
    """

    result: Result
    status: int = 0
    reason: str = ""
    endpoint: str = ""
    reserves: bool = False
    wait_ms: int = 0


class KnowledgeView(msgspec.Struct, frozen=True, kw_only=True):
    """How old that is on which the answer rests.

    Attributes
    ----------
    vm, zone : str
        VM that answers, and its availability zone.
    configuration_version : int
        Its configuration; -1 before the first.
    configuration_age_ms : int or None
        Its age; None if not known.
    peers_heard, peers : int
        VMs whose load reports count, and VMs known.
    report_age_ms : float
        Mean age of these reports.
    """

    vm: str
    zone: str
    configuration_version: int
    configuration_age_ms: int | None
    peers_heard: int
    peers: int
    report_age_ms: float


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would go now, and why; parts that were not reached are None.

    Attributes
    ----------
    knowledge : KnowledgeView
        What it rests on.
    outcome : OutcomeView
        What becomes of the request.
    route : RouteView or None
        Its route.
    customer : CustomerView or None
        Whose it is.
    limit : LimitView or None
        The customer's limit on requests, if it has one.
    shares : tuple of ShareView
        The customer's shares of the route's services.
    batch : BatchView or None
        For a batch item.
    draws : int
        How often the choice was drawn; more than once where chance decides.
    candidates : tuple of CandidateView
        Workers, the likeliest first.
    candidate_count : int
        Workers, also those that are left out.
    """

    knowledge: KnowledgeView
    outcome: OutcomeView
    route: RouteView | None = None
    customer: CustomerView | None = None
    limit: LimitView | None = None
    shares: tuple[ShareView, ...] = ()
    batch: BatchView | None = None
    draws: int = 0
    candidates: tuple[CandidateView, ...] = ()
    candidate_count: int = 0
