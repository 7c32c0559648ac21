"""Catalogue entries for tests."""

from foxtailbank.entry import Entry, EntryKind, WorkClass, key_hash


def make_entry(name="tributes", *, owner="mwangaza", key="demo-key", **changes):
    """Return an entry of an engine for online requests, with changes."""
    values = {
        "work_class": WorkClass.ONLINE,
        "kind": EntryKind.ENGINE,
        "pool": "wordsmith",
        "model": "wordsmith",
        "key_hashes": (key_hash(key),),
    }
    return Entry(name=name, owner=owner, **(values | changes))
