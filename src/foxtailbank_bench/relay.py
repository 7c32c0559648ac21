"""TCP and UDP relay whose links can be cut, delayed or stalled by control calls."""

import argparse
import functools

import anyio

from foxtailbank_bench.relay_app import RelayApp
from foxtailbank_bench.relay_link import RelayLink
from foxtailbank_bench.serving import run_program


def main() -> None:
    """Run the relay."""
    anyio.run(functools.partial(_run, _argument_parser().parse_args()))


async def _run(options: argparse.Namespace) -> None:
    links = tuple(
        RelayLink(name=name, host=options.host, target=target)
        for name, target in options.link
    )
    async with anyio.create_task_group() as tasks:
        for link in links:
            await tasks.start(link.run)
        await run_program(RelayApp(links=links), host=options.host, port=options.port)
        tasks.cancel_scope.cancel()


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument(
        "--port", type=int, default=0, help="control port; 0 chooses a free port"
    )
    parser.add_argument(
        "--link",
        type=_parse_link,
        action="append",
        default=[],
        metavar="NAME=ADDRESS",
        help="name and target address of a link; may be repeated",
    )
    return parser


def _parse_link(text: str) -> tuple[str, str]:
    name, _, target = text.partition("=")
    return name, target


if __name__ == "__main__":
    main()
