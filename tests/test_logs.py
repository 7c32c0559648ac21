import io
import json

from foxtailbank.events import Event
from foxtailbank.logs import LogFields, Logs
from foxtailbank.settings_sections import LogLevel


def make(**kwargs):
    stream = io.StringIO()
    return Logs(vm="entry-a1", zone="nairobi-a", stream=stream, **kwargs), stream


def test_line_has_stable_fields():
    logs, stream = make()
    fields = LogFields(request_id="r1", owner="mwangaza", entry="tributes", status=429)
    logs.write(Event.CALL_REFUSED, level=LogLevel.WARNING, fields=fields)
    line = json.loads(stream.getvalue())
    assert line.pop("time")
    assert line == {
        "level": "warning",
        "event": "call_refused",
        "vm": "entry-a1",
        "zone": "nairobi-a",
        "request_id": "r1",
        "owner": "mwangaza",
        "entry": "tributes",
        "status": 429,
    }


def test_line_breaks_and_percent_signs_do_not_split_a_line():
    logs, stream = make()
    logs.write(Event.CALL_FAILED, fields=LogFields(reason='a\n{"event": 1} %s'))
    assert len(stream.getvalue().splitlines()) == 1


def test_level_can_be_changed():
    logs, stream = make(level=LogLevel.ERROR)
    logs.write(Event.VM_READY)
    assert not stream.getvalue()
    logs.set_level(LogLevel.INFO)
    logs.write(Event.VM_READY)
    assert stream.getvalue()


def test_event_names_are_unique_and_lower_case():
    names = [event.value for event in Event]
    assert len(set(names)) == len(names)
    assert all(event.value == event.name.lower() for event in Event)
