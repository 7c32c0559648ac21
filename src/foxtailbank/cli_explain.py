"""Command ``explain``: where a request would go now, and why, without sending it."""

import argparse
import urllib.parse

from foxtailbank.cli_context import Context
from foxtailbank.cli_group import Commands, add_command
from foxtailbank.exit_code import ExitCode
from foxtailbank.explain.explanation import Explanation
from foxtailbank.explain.render import render

_FLAG_VALUE = "1"


def add_explain(commands: Commands) -> None:
    """Add the ``explain`` command."""
    parser = add_command(
        commands,
        "explain",
        _run,
        help_text="tell where a request would go now, and why, without sending it",
        examples=[
            "foxtailbank explain GET /v1/x --host h.example --address 10.0.0.5:9464",
            "foxtailbank explain POST /b/1 --host h.example --customer acme --json",
        ],
        prints_table=True,
    )
    parser.add_argument("method", help="method of the request")
    parser.add_argument("path", help="path of the request")
    parser.add_argument("--host", required=True, help="host that it is for")
    parser.add_argument(
        "--customer", default="", help="name of the customer; never a key"
    )
    parser.add_argument(
        "--item",
        action="store_true",
        help="an item of a batch submission that was accepted already",
    )
    parser.add_argument(
        "--route",
        default="",
        help="of an item, the route of its submission, if its path lies elsewhere",
    )
    parser.add_argument(
        "--prefix", default="", help="its prompt parts as ID:TOKENS, with commas"
    )
    parser.add_argument(
        "--tokens", type=int, default=0, help="prompt tokens plus output tokens"
    )
    parser.add_argument("--body-bytes", type=int, default=0, help="size of its body")
    parser.add_argument(
        "--version",
        default="",
        help="software version that began the stream or output that it continues",
    )
    parser.add_argument("--all", action="store_true", help="list all candidates")


def _run(options: argparse.Namespace, context: Context) -> ExitCode:
    fields = {
        "method": options.method,
        "host": options.host,
        "path": options.path,
        "customer": options.customer,
        "prefix": options.prefix,
        "tokens": str(options.tokens),
        "body_bytes": str(options.body_bytes),
        "version": options.version,
        "item": _FLAG_VALUE if options.item else "",
        "route": options.route,
        "all": _FLAG_VALUE if options.all else "",
    }
    query = urllib.parse.urlencode(
        {name: value for name, value in fields.items() if value not in ("", "0")}
    )
    client = context.create_client(options)
    answer = client.call_operators_port(f"/admin/explain?{query}", reply=Explanation)
    if options.json:
        context.write_json(answer)
    else:
        context.write(render(answer))
    return ExitCode.OK
