"""Each test named in PROOFS.md exists, is run and is cited in the matrix."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
MATRIX, TEST_LIST = PAGE.split("## Tests")
TEST_ROWS = re.findall(r"^\| `([a-z-]+)` \| `([\w./]+)::(\w+)` \|$", TEST_LIST, re.M)
SKIP_MARKERS = {"skip", "skipif", "xfail"}


def find_tests(file):
    """Return the tests of a module with the markers that skip them."""
    found = {}
    for node in ast.parse((ROOT / file).read_text(encoding="utf-8")).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            markers = {part.attr for part in attributes(node.decorator_list)}
            found[node.name] = markers & SKIP_MARKERS
        elif isinstance(node, ast.ClassDef):
            found[node.name] = set()
        elif isinstance(node, ast.Assign):
            # Hypothesis stateful tests are assigned from `Machine.TestCase`.
            for target in node.targets:
                found[getattr(target, "id", "")] = set()
    return found


def attributes(decorators):
    for decorator in decorators:
        for node in ast.walk(decorator):
            if isinstance(node, ast.Attribute):
                yield node


@pytest.mark.parametrize(("file", "name"), [row[1:] for row in TEST_ROWS])
def test_named_test_exists_and_is_run(file, name):
    names = find_tests(file)
    assert name in names
    assert not names[name]
    assert name.startswith(("test_", "Test"))
    assert pathlib.Path(file).name.startswith("test_")


def test_matrix_and_list_have_the_same_names():
    used = set(re.findall(r"`([a-z-]+)`", MATRIX.split("## Matrix")[1]))
    listed = {row[0] for row in TEST_ROWS}
    assert used | {"orders"} == listed


def test_every_cell_says_what_proves_it():
    rows = [line for line in MATRIX.splitlines() if line.startswith("| ")]
    for row in rows[1:]:
        cells = [cell.strip() for cell in row.strip("|").split("|")]
        assert len(cells) == 10
        for cell in cells[1:]:
            assert cell in ("-", "not proved") or re.fullmatch(
                r"`[a-z-]+`(, `[a-z-]+`)*", cell
            )
