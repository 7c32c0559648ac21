import io
import json

import pytest

from foxtailbank.events import Event
from foxtailbank.logs import Logs
from foxtailbank.state_change_logger import LoggedState, StateChangeLogger

CASES = [
    ([False, False], []),
    ([True, True], ["log_lost"]),
    ([True, False, False, True], ["log_lost", "log_restored", "log_lost"]),
]


@pytest.mark.anyio
@pytest.mark.parametrize("readings, expected", CASES)
async def test_state_change_is_logged_once(readings, expected):
    output = io.StringIO()
    logs = Logs(vm="a", zone="z", stream=output)
    remaining = iter(readings)
    state = LoggedState(
        is_on=lambda: next(remaining),
        begin_event=Event.LOG_LOST,
        end_event=Event.LOG_RESTORED,
    )
    logger = StateChangeLogger(logs=logs, states=(state,))
    for _ in readings:
        await logger.check()
    lines = [json.loads(line) for line in output.getvalue().splitlines()]
    assert [line["event"] for line in lines] == expected
