"""What a VM does with messages of other VMs."""

import abc

from foxtailbank import peer_messages as pm


class PeerHandler(abc.ABC):
    """Answers requests and takes in notices."""

    @abc.abstractmethod
    async def request(self, peer_id: str, message: pm.PeerMessage) -> pm.PeerMessage:
        """Answer a request.

        Parameters
        ----------
        peer_id : str
            Authenticated name of the VM that asks.
        message : PeerMessage
            What it asks.

        Returns
        -------
        PeerMessage
            The answer.

        Raises
        ------
        FoxtailbankError
            Sent to the peer as `Refused`; `MessageUnsupported` as `Unsupported`.
        """

    @abc.abstractmethod
    def notice(self, peer_id: str, message: pm.PeerMessage) -> None:
        """Take in a message that wants no answer.

        Parameters
        ----------
        peer_id : str
            Authenticated name of the VM that sent it.
        message : PeerMessage
            Its content.
        """
