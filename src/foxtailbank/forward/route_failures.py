"""Why a request is refused that no route is known for."""

from foxtailbank.exceptions import FoxtailbankError


class ConfigurationUnknown(FoxtailbankError):
    """No configuration has been read from the store yet, or none for this request."""

    code = "configuration_unknown"
    status = 503


class NoRoute(FoxtailbankError):
    """No route matches the request."""

    code = "no_route"
    status = 404
