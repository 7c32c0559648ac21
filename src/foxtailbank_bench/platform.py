"""Stand-in for the platform: log service, VM list and weight store."""

import argparse
import functools
import pathlib

import anyio
import msgspec

from foxtailbank.vm_list import Vm
from foxtailbank.weight_store import Weights
from foxtailbank_bench.platform_app import PlatformApp
from foxtailbank_bench.platform_weights import DEFAULT_RATE_BYTES_PER_S
from foxtailbank_bench.serving import run_program


def main() -> None:
    """Run the platform stand-in."""
    options = _argument_parser().parse_args()
    app = PlatformApp(
        retention_records=options.retention_records,
        vms=_read_vms(options.vms),
        weights=tuple(options.weights),
        weight_rate_bytes_per_s=options.weight_rate_bytes_per_s,
    )
    anyio.run(functools.partial(run_program, app, host=options.host, port=options.port))


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1", help="IP number to listen on")
    parser.add_argument("--port", type=int, default=0, help="0 chooses a free port")
    parser.add_argument(
        "--retention-records",
        type=int,
        default=0,
        help="maximum number of records kept per stream; 0 keeps all",
    )
    parser.add_argument("--vms", type=pathlib.Path, help="JSON file with the VM list")
    parser.add_argument(
        "--weights",
        type=_parse_weights,
        action="append",
        default=[],
        metavar="NAME:VERSION:BYTES",
        help="model weights in the weight store; may be repeated",
    )
    parser.add_argument(
        "--weight-rate-bytes-per-s",
        type=int,
        default=DEFAULT_RATE_BYTES_PER_S,
    )
    return parser


def _parse_weights(text: str) -> Weights:
    name, version, size_bytes = text.rsplit(":", 2)
    return Weights(name=name, version=version, size_bytes=int(size_bytes))


def _read_vms(path: pathlib.Path | None) -> tuple[Vm, ...]:
    if path is None:
        return ()
    return msgspec.json.decode(path.read_bytes(), type=tuple[Vm, ...])


if __name__ == "__main__":
    main()
