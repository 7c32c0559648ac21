"""Authentication of callers and their access to catalogue entries."""

import dataclasses

from foxtailbank.asgi import Scope, get_header
from foxtailbank.catalogue import Catalogue
from foxtailbank.entry import Entry, WorkClass, key_hash
from foxtailbank.exceptions import Forbidden, InvalidApiKey, ModelNotFound, NotFound
from foxtailbank.sentinels import Missing

BEARER = "bearer "
MAX_KEY_CHARS = 512


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """The holder of a valid key.

    Attributes
    ----------
    owner : str
        Customer that the key belongs to.
    hashed_key : str
        Hash of the key, as the catalogue holds it.
    """

    owner: str
    hashed_key: str


def bearer_key(scope: Scope) -> str:
    """Return the bearer key of a request.

    Raises
    ------
    InvalidApiKey
        The header is absent, or its key is empty or too long.
    """
    value = get_header(scope, b"authorization")
    if not value.lower().startswith(BEARER):
        raise InvalidApiKey(detail="send a key as `Authorization: Bearer KEY`")
    key = value[len(BEARER) :].strip()
    if not key or len(key) > MAX_KEY_CHARS:
        raise InvalidApiKey(detail="the key is empty or too long")
    return key


def authenticate(scope: Scope, catalogue: Catalogue) -> Caller:
    """Return the caller that a request's key belongs to.

    Parameters
    ----------
    scope : Scope
        ASGI scope of the request.
    catalogue : Catalogue
        Holds the hashes of all keys.

    Raises
    ------
    InvalidApiKey
        The key is absent, malformed or unknown.
    """
    hashed = key_hash(bearer_key(scope))
    owner = catalogue.owner_of_key(hashed)
    if not owner:
        raise InvalidApiKey(detail="the key is unknown")
    return Caller(owner=owner, hashed_key=hashed)


def entry_for_model(caller: Caller, catalogue: Catalogue, model: str) -> Entry:
    """Return the online entry that serves a model to a caller.

    Raises
    ------
    ModelNotFound
        No entry accessible to the caller's key serves the model.
    """
    entry = catalogue.entry_for_model(key_hash=caller.hashed_key, model=model)
    if isinstance(entry, Missing):
        raise ModelNotFound(detail=f"the model `{model}` does not exist for this key")
    return entry


def entry_by_name(
    caller: Caller, catalogue: Catalogue, name: str, work_class: WorkClass
) -> Entry:
    """Return the entry with a name and work class.

    Raises
    ------
    NotFound
        No entry has this name and class.
    Forbidden
        The caller's key has no access to the entry.
    """
    entry = catalogue.entry(name)
    if isinstance(entry, Missing):
        raise NotFound(detail=f"no entry `{name}`")
    if caller.hashed_key not in entry.key_hashes:
        raise Forbidden(detail=f"the key has no access to `{name}`")
    if entry.work_class is not work_class:
        raise NotFound(detail=f"no {work_class.value} entry `{name}`")
    return entry
