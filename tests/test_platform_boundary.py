"""The core and its tests use no names of the platform's protocol."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PLATFORM_NAMES = re.compile(
    "|".join(
        (
            "log-(append|read|newest|join|leave|commit|owners|trim)",
            "X-(Response-Stamp|Expect-Instance|Not-Executed|Prompt-Prefix)",
            "X-(Token-Count|Wait-Ms|Instance-Id|Tenant)",
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
def test_core_uses_no_platform_names(path):
    assert PLATFORM_NAMES.findall(path.read_text(encoding="utf-8")) == []


def test_adapter_does_not_shadow_the_stdlib_module():
    assert not (ROOT / "platform" / "__init__.py").exists()


def test_core_does_not_import_the_adapter():
    for path in SOURCES:
        assert "foxtailbank_platform" not in path.read_text(encoding="utf-8"), path


def test_deployed_requirements_are_in_the_lock_file():
    lock = (ROOT / "requirements.lock").read_text(encoding="utf-8").splitlines()
    deployed = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8")
    assert set(deployed.splitlines()) <= set(lock)
    assert "pytest" not in deployed
