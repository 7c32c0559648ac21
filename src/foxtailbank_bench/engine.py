"""Stand-in for a model engine, run as a program."""

import argparse
import functools
import os
import pathlib

import anyio

from foxtailbank_bench.engine_app import EngineApp
from foxtailbank_bench.engine_orders import EngineOrders
from foxtailbank_bench.journal import Journal
from foxtailbank_bench.serving import GRACEFUL_S, run_program
from foxtailbank_bench.step_loop import EngineRates

CRASH_EXIT_CODE = 70
DEFAULT_LOAD_MS = 200
DEFAULT_VERSION = "1"


def main() -> None:
    """Run the program."""
    options = _parser().parse_args()
    anyio.run(functools.partial(_run, options))


async def _run(options: argparse.Namespace) -> None:
    app = EngineApp(
        orders=EngineOrders(
            models=tuple(options.model),
            check_fence=options.check_fence,
            weights_address=options.weights,
            load_ms=options.load_ms,
        ),
        rates=EngineRates(
            base_step_ms=options.base_step_ms,
            per_stream_ms=options.per_stream_ms,
            prefill_us_per_token=options.prefill_us_per_token,
            max_running=options.max_running,
            max_waiting=options.max_waiting,
        ),
        crash=functools.partial(os._exit, CRASH_EXIT_CODE),
        journal=Journal(file=options.journal),
        cache_blocks=options.cache_blocks,
        report_lag_ms=options.report_lag_ms,
        zone=options.zone,
    )
    await run_program(
        app,
        host=options.host,
        port=options.port,
        background=app.run,
        on_stop=app.drain,
        graceful_s=options.graceful_s,
    )


def _parser() -> argparse.ArgumentParser:
    rates = EngineRates()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="0 takes a free port")
    parser.add_argument("--zone", default="", help="availability zone")
    parser.add_argument(
        "--model",
        type=_parse_model,
        action="append",
        default=[],
        metavar="NAME[@VERSION]",
        help="model loaded at startup; may be repeated",
    )
    parser.add_argument("--base-step-ms", type=float, default=rates.base_step_ms)
    parser.add_argument("--per-stream-ms", type=float, default=rates.per_stream_ms)
    parser.add_argument(
        "--prefill-us-per-token", type=float, default=rates.prefill_us_per_token
    )
    parser.add_argument("--max-running", type=int, default=rates.max_running)
    parser.add_argument("--max-waiting", type=int, default=rates.max_waiting)
    parser.add_argument("--cache-blocks", type=int, default=2_048)
    parser.add_argument("--report-lag-ms", type=int, default=0)
    parser.add_argument(
        "--check-fence", action="store_true", help="refuse stale fencing numbers"
    )
    parser.add_argument(
        "--weights", default="", metavar="ADDRESS", help="weight store to load from"
    )
    parser.add_argument("--load-ms", type=int, default=DEFAULT_LOAD_MS)
    parser.add_argument(
        "--graceful-s",
        type=float,
        default=GRACEFUL_S,
        help="time for running streams to finish after SIGTERM",
    )
    parser.add_argument(
        "--journal", type=pathlib.Path, help="file for the request journal"
    )
    return parser


def _parse_model(text: str) -> tuple[str, str]:
    name, _, version = text.partition("@")
    return name, version or DEFAULT_VERSION


if __name__ == "__main__":
    main()
