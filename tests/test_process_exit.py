"""A process that has shut down is gone at once."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCRIPTS = ("platform/__main__.py", "platform/foxtailbank_soak/soaked_vm.py")
PROGRAM = """
import atexit, sys
sys.path[:0] = ["platform", "src"]
atexit.register(sys.stdout.write, "torn down")
from foxtailbank_platform.process_exit import exit_now
main = lambda: 3
sys.stdout.write("written")
"""


# Guards against clients that reach nobody while the interpreter of a stopped process is
# torn down, which takes the longer the busier the machine is.
@pytest.mark.parametrize("script", SCRIPTS)
def test_a_stopped_process_is_not_torn_down(script):
    # What the script runs as a program, after another main function.
    _, condition, program = (ROOT / script).read_text().partition("if __name__")
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM + condition + program],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert (ended.stdout, ended.returncode) == ("written", 3)
