"""What a client sends while its request is handled."""

import anyio
import h11

from foxtailbank.http1.connection_budget import ConnectionAccount, Holding
from foxtailbank.http1.socket_stream import InputWatcher

AHEAD_BYTES = 16_384  # read of later requests while one is handled


class ReadAhead(InputWatcher):
    """Buffers pipelined requests and notices that the client has disconnected.

    No task waits for that, since one for each request would cost more than the rest
    of the connection's work.

    Parameters
    ----------
    http : h11.Connection
        Parser of the connection, which holds what was sent ahead.
    account : ConnectionAccount
        Counts what is held.
    scope : anyio.CancelScope
        Cancelled when the client disconnects.
    """

    def __init__(
        self,
        *,
        http: h11.Connection,
        account: ConnectionAccount,
        scope: anyio.CancelScope,
    ) -> None:
        self._http = http
        self._account = account
        self._scope = scope
        self._is_full = False

    def room_bytes(self) -> int:
        """Return how many bytes may still be sent ahead."""
        ahead_bytes = len(self._http.trailing_data[0])
        return 0 if self._is_full else max(0, AHEAD_BYTES - ahead_bytes)

    def on_data(self, data: bytes) -> None:
        """Buffer pipelined bytes."""
        self._http.receive_data(data)
        ahead_bytes = len(self._http.trailing_data[0])
        self._is_full = not self._account.hold(Holding.AHEAD, ahead_bytes)

    def on_end(self) -> None:
        """Cancel the handler."""
        self._scope.cancel()
