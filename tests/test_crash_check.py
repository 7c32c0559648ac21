import pytest

from foxtailbank.crash_check import has_crashed
from foxtailbank.exceptions import EndpointFailed, EndpointRefused, EndpointStalled

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


class FakeEndpoint:
    def __init__(self, *answers):
        self.answers = list(answers)

    async def load(self):
        answer = self.answers.pop(0)
        if answer is not None:
            raise answer()


@pytest.mark.parametrize(
    ("answers", "crashed"),
    [
        ([None], False),
        ([EndpointRefused], True),
        ([EndpointStalled], False),
        ([EndpointFailed, EndpointRefused], True),
        ([EndpointFailed, EndpointFailed, EndpointRefused], True),
        ([EndpointFailed, None], False),
        ([EndpointFailed] * 4, False),
    ],
)
async def test_only_a_refused_connection_is_a_crash(answers, crashed):
    assert await has_crashed(FakeEndpoint(*answers)) is crashed
