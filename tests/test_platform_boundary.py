"""Names of the platform's wire stay in its adapter."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
NAMES = re.compile(
    "|".join(
        (
            "log-(append|read|newest|join|leave|commit|owners|trim)",
            "X-(Response-Stamp|Expect-Instance|Not-Executed|Prompt-Prefix)",
            "X-(Token-Count|Wait-Ms|Instance-Id)",
            r"keyed\.(op|servers|status)",
            "/foxtailbank/(lots|items|report|ready)",
            "dead_letter|cold_left_ms",
        )
    ),
    re.IGNORECASE,
)
SOURCES = sorted((ROOT / "src").rglob("*.py"))
TESTS = sorted(
    path for path in (ROOT / "tests").glob("*.py") if "platform" not in path.name
)


@pytest.mark.parametrize("path", SOURCES + TESTS, ids=lambda path: path.stem)
def test_no_name_of_the_platform(path):
    assert NAMES.findall(path.read_text(encoding="utf-8")) == []


def test_the_adapter_does_not_hide_the_standard_module():
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_the_core_does_not_import_the_adapter():
    for path in SOURCES:
        assert "foxtailbank_platform" not in path.read_text(encoding="utf-8"), path


def test_what_the_deployment_installs_is_locked_alike():
    lock = (ROOT / "requirements.lock").read_text(encoding="utf-8").splitlines()
    deployed = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
    assert set(deployed.splitlines()) <= set(lock)
    assert "pytest" not in deployed
