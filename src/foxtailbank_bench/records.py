"""Stand-in for a plain HTTP service with contract lookups and billed bookings."""

import argparse
import functools
import pathlib

import anyio

from foxtailbank_bench.journal import Journal
from foxtailbank_bench.records_app import RecordsApp
from foxtailbank_bench.serving import run_program


def main() -> None:
    """Run the program."""
    options = _parser().parse_args()
    app = RecordsApp(journal=Journal(file=options.journal), zone=options.zone)
    serve = functools.partial(
        run_program, app, host=options.host, port=options.port, on_stop=app.drain
    )
    anyio.run(serve)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="0 takes a free port")
    parser.add_argument("--zone", default="", help="availability zone")
    parser.add_argument(
        "--journal", type=pathlib.Path, help="file for the request journal"
    )
    return parser


if __name__ == "__main__":
    main()
