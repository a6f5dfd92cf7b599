"""The list of tests that are known to fail."""

import pytest

from bergamotcourse.tests.known_red import MAX_ENTRIES, read_known_red


class TestList:
    def test_entries_are_read_with_their_descriptions(self, tmp_path):
        path = tmp_path / "list"
        path.write_text("a.py::one | fails | seed 3\nb.py::two | overlaps\n")
        assert read_known_red(path) == {
            "a.py::one": "fails | seed 3",
            "b.py::two": "overlaps",
        }

    def test_missing_list_is_empty(self, tmp_path):
        assert read_known_red(tmp_path / "list") == {}

    @pytest.mark.parametrize(
        "text", ["a.py::one\n", "".join(f"t{n} | x\n" for n in range(MAX_ENTRIES + 1))]
    )
    def test_missing_description_or_too_many_entries_are_refused(self, text, tmp_path):
        path = tmp_path / "list"
        path.write_text(text)
        with pytest.raises(ValueError):
            read_known_red(path)

    def test_listed_tests_are_in_existing_files(self, pytestconfig):
        for name in read_known_red():
            assert (pytestconfig.rootpath / name.partition("::")[0]).exists()
