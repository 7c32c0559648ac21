"""Control interface of the relay."""

from foxtailbank_bench import asgi
from foxtailbank_bench.exchange import Exchange
from foxtailbank_bench.relay_faults import LinkFaults
from foxtailbank_bench.relay_link import RelayLink
from foxtailbank_bench.stand_in import NOT_FOUND, StandIn


class RelayApp(StandIn):
    """ASGI application that lists links and changes their faults.

    Parameters
    ----------
    links : tuple of RelayLink
        All links; their names are unique.
    """

    def __init__(self, *, links: tuple[RelayLink, ...]) -> None:
        self._links_by_name = {link.name: link for link in links}

    async def handle(self, exchange: Exchange) -> None:
        """Handle a control request."""
        match exchange.method, exchange.path:
            case "POST", "/control/faults":
                await self._apply_faults(exchange.decode_json(LinkFaults))
                await exchange.send_json({})
            case "GET", "/control/links":
                links = self._links_by_name.values()
                await exchange.send_json({link.name: link.address for link in links})
            case _:
                await self.send_error(exchange, NOT_FOUND, "not found")

    async def _apply_faults(self, change: LinkFaults) -> None:
        if change.link is None:
            for link in self._links_by_name.values():
                await link.apply_faults(change)
            return
        if change.link not in self._links_by_name:
            raise asgi.MalformedRequest(f"unknown link: {change.link}")
        await self._links_by_name[change.link].apply_faults(change)
