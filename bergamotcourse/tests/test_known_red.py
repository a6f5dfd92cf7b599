"""The list of tests that are known to fail."""

import pytest

from bergamotcourse.tests.known_red import MOST, read_known_red


class TestList:
    def test_tells_a_story_of_each(self, tmp_path):
        path = tmp_path / "list"
        path.write_text("a.py::one | fails | seed 3\nb.py::two | overlaps\n")
        assert read_known_red(path) == {
            "a.py::one": "fails | seed 3",
            "b.py::two": "overlaps",
        }

    def test_may_be_missing(self, tmp_path):
        assert read_known_red(tmp_path / "list") == {}

    @pytest.mark.parametrize(
        "text", ["a.py::one\n", "".join(f"t{n} | x\n" for n in range(MOST + 1))]
    )
    def test_is_refused_without_a_story_or_when_too_long(self, text, tmp_path):
        path = tmp_path / "list"
        path.write_text(text)
        with pytest.raises(ValueError):
            read_known_red(path)

    def test_names_files_that_there_are(self, pytestconfig):
        for name in read_known_red():
            assert (pytestconfig.rootpath / name.partition("::")[0]).exists()
