"""Catalogue entries of the demo fleet."""

import typing as t

import httpx

from foxtailbank.entry import key_hash

CALLER_KEY = "demo-key"
OWNER = "mwangaza"
AMPLE_LIMITS = {"requests_per_s": 5_000, "concurrency": 600, "tokens_per_s": 1_000_000}


def demo_entries() -> dict[str, dict[str, t.Any]]:
    """Return the demo's catalogue entries by name."""
    keys = [key_hash(CALLER_KEY)]
    common = {"owner": OWNER, "key_hashes": keys, "limits": AMPLE_LIMITS}
    engine = {"kind": "engine", "pool": "wordsmith", "model": "wordsmith"}
    service = {"kind": "service", "pool": "records", "work_class": "online"}
    return {
        "tributes": {**common, **engine, "work_class": "online"},
        "notices": {
            **common,
            **engine,
            "work_class": "batch",
            "limits": {**AMPLE_LIMITS, "deadline_ms": 3_600_000},
        },
        "contracts": {**common, **service, "idempotent": True},
        "bookings": {**common, **service, "idempotent": False},
    }


def put_entry(
    address: str, name: str, entry: dict[str, t.Any], *, admin_key: str
) -> int:
    """Create or replace a catalogue entry.

    Parameters
    ----------
    address : str
        HTTP address (host and port) of an entry VM.
    name : str
        Name of the entry.
    entry : dict
        Content of the entry.
    admin_key : str
        Key for the admin API.

    Returns
    -------
    int
        New version of the entry.

    Raises
    ------
    httpx.HTTPStatusError
        The VM refused the change.
    """
    url = f"http://{address}/admin/catalogue/{name}"
    headers = {"authorization": f"Bearer {admin_key}"}
    with httpx.Client(trust_env=False, headers=headers, timeout=10.0) as client:
        current = client.get(url)
        exists = current.status_code == httpx.codes.OK
        based_on = current.json()["version"] if exists else 0
        response = client.put(url, json={"entry": entry, "based_on": based_on})
    response.raise_for_status()
    return int(response.json()["version"])
