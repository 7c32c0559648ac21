"""Interface for handling messages from other entry VMs."""

import abc

from foxtailbank import peer_messages as pm


class PeerHandler(abc.ABC):
    """Answers requests and processes notices."""

    @abc.abstractmethod
    async def handle_request(
        self, peer_id: str, message: pm.PeerMessage
    ) -> pm.PeerMessage:
        """Answer a request.

        Parameters
        ----------
        peer_id : str
            Authenticated id of the sender.
        message : PeerMessage
            The request.

        Returns
        -------
        PeerMessage
            The answer.

        Raises
        ------
        FoxtailbankError
            Reported to the peer as `Refused`, or as `Unsupported` if it is a
            `MessageUnsupported`.
        """

    @abc.abstractmethod
    def handle_notice(self, peer_id: str, message: pm.PeerMessage) -> None:
        """Process a message that needs no answer.

        Parameters
        ----------
        peer_id : str
            Authenticated id of the sender.
        message : PeerMessage
            The notice.
        """
