"""Which stored submission a call is about, and who may make it."""

import dataclasses
import types

import pytest

from customer_samples import GateWorld, make_customer
from foxtailbank.customers.customer_gate import KeyUnknown
from foxtailbank.exceptions import FoxtailbankError
from foxtailbank.forward.route import RouteKind
from foxtailbank.http1.connection_budget import unbounded
from foxtailbank.http1.server_request import ServerRequest
from foxtailbank.submissions.failures import SubmissionUnknown
from foxtailbank_platform.headers import CUSTOMER_HEADERS
from foxtailbank_platform.submission_calls import SubmissionCalls
from foxtailbank_platform.submission_wire import decode_submission
from platform_deployment import make_submission
from serving_fakes import make_logs, make_route, make_routes, manual_clock

pytestmark = pytest.mark.anyio
ACME_ID, BEE_ID = "acme→s1", "bee→s1"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stored:
    """What decides who may see a submission of no customer."""

    route: str
    is_public: bool = False


class Batch:
    """Submissions of no customer, by id; a VM that `knows_all` has those of the log."""

    def __init__(self, stored_by_id, *, knows_all):
        self.stored_by_id = stored_by_id
        self.knows_all = knows_all

    def get(self, submission_id):
        return self.stored_by_id.get(submission_id) if self.knows_all else None

    async def find(self, submission_id):
        if submission_id not in self.stored_by_id:
            raise SubmissionUnknown()
        return self.stored_by_id[submission_id]


OPEN = {"s1": Stored(route="open", is_public=True)}
OPEN_BEFORE = {"s1": Stored(route="open")}  # written by an earlier release
CLOSED = {"s1": Stored(route="r")}


# Guards against submissions that anyone can read, that their callers can't read, or of
# which another customer learns.
@pytest.mark.parametrize(
    ("key", "stored", "has_customers", "has_public", "expected"),
    [
        pytest.param("k1", {}, True, False, ACME_ID, id="own"),
        pytest.param("k2", {}, True, False, BEE_ID, id="of-the-other"),
        pytest.param("k9", {}, True, False, KeyUnknown, id="unknown-key"),
        pytest.param("", {}, True, False, KeyUnknown, id="no-key"),
        pytest.param("k9", CLOSED, False, False, "s1", id="no-customers"),
        pytest.param("", OPEN, True, True, "s1", id="public"),
        pytest.param("k1", OPEN, True, True, "s1", id="public-with-key"),
        pytest.param("", CLOSED, True, True, KeyUnknown, id="not-public"),
        pytest.param("k1", CLOSED, True, True, ACME_ID, id="of-before-customers"),
        pytest.param("", {}, True, True, SubmissionUnknown, id="none-of-that-id"),
        pytest.param("", OPEN, True, False, "s1", id="public-route-removed"),
        pytest.param("k1", OPEN, True, False, "s1", id="removed-with-key"),
        pytest.param("", OPEN_BEFORE, True, True, "s1", id="public-of-before"),
        pytest.param(
            "", OPEN_BEFORE, True, False, KeyUnknown, id="of-before-and-removed"
        ),
    ],
)
async def test_who_may_see_a_submission(
    key, stored, has_customers, has_public, expected
):
    found = await find_stored_id(key, stored, has_customers, has_public)
    assert found == expected


# Guards against a 401 for a submission that this VM has not read yet, and against a
# caller without a key who makes a VM read the log.
@pytest.mark.parametrize(
    ("stored", "knows_all", "expected"),
    [
        pytest.param(OPEN, False, "s1", id="public-and-not-read-yet"),
        pytest.param(CLOSED, False, KeyUnknown, id="not-public-and-not-read-yet"),
        pytest.param({}, False, SubmissionUnknown, id="none-after-a-read"),
        pytest.param({}, True, KeyUnknown, id="none-without-a-read"),
    ],
)
async def test_who_may_see_a_submission_at_a_vm_that_starts(
    stored, knows_all, expected
):
    found = await find_stored_id("", stored, True, False, knows_all=knows_all)
    assert found == expected


async def find_stored_id(key, stored, has_customers, has_public, *, knows_all=True):
    """Return the id that is found, or the type of the failure."""
    customers = (make_customer(keys=("k1",)), make_customer("bee", keys=("k2",)))
    world = GateWorld(manual_clock(), customers=())
    batch_route = make_route(kind=RouteKind.BATCH)
    public = make_route(
        name="open", path_prefix="/open/", kind=RouteKind.BATCH, is_public=True
    )
    routes = (batch_route, public) if has_public else (batch_route,)
    world.routes.apply(
        make_routes(*routes, version=9, customers=customers if has_customers else ())
    )
    vm = types.SimpleNamespace(
        routes=world.routes,
        customers=world.gate,
        batch=Batch(stored, knows_all=knows_all),
    )
    headers = (("authorization", f"Token {key}"),) if key else ()
    request = ServerRequest(
        method="GET", target="/x", headers=headers, body=b"", arrived_ms=0
    )
    calls = SubmissionCalls(vm=vm, budget=unbounded(manual_clock()), logs=make_logs())
    try:
        return await calls._stored_id(request, "s1")
    except FoxtailbankError as failure:
        return type(failure)


# Guards against items of a public route that name a customer or bear a key.
async def test_items_bring_no_customer_and_no_key_of_their_own():
    headers = {"X-tenant": "root", "AUTHORIZATION": "Token k1", "X-Other": "o"}
    request = ServerRequest(
        method="POST",
        target="/open/",
        headers=(),
        body=make_submission(count=1, changes={"headers": headers}),
        arrived_ms=0,
    )
    new = decode_submission(
        request, submission_id="s1", host="h", excluded=CUSTOMER_HEADERS
    )
    assert new.items[0].headers == (("X-Other", "o"),)
