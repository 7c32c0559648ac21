"""Entry VM daemon whose outgoing traffic goes through relay links."""

import argparse
import json
import pathlib
import sys

from foxtailbank import daemon
from foxtailbank_bench.outgoing_links import redirect_traffic


def main() -> int:
    """Run the daemon with its outgoing traffic redirected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", required=True, help="TOML file")
    parser.add_argument(
        "--links", required=True, help="JSON file: target address to link address"
    )
    options = parser.parse_args()
    redirect_traffic(json.loads(pathlib.Path(options.links).read_text()))
    return daemon.main(["--settings", options.settings])


if __name__ == "__main__":
    sys.exit(main())
