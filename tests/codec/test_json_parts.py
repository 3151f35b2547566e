"""Tests of dragonflyshelf.codec.json_parts."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from dragonflyshelf.codec import json_parts
from dragonflyshelf.core import errors

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(),
    lambda children: strategies.lists(children)
    | strategies.dictionaries(strategies.text(), children),
)
PLAIN_KEYS = strategies.text(
    strategies.characters(min_codepoint=32, exclude_characters='"\\'),
)
DEEP = b"[" * 100_000 + b"]" * 100_000


class TestItems:
    """Parts of a list."""

    @hypothesis.given(strategies.lists(VALUES), strategies.booleans())
    def test_any_list(self, values: list[Any], is_ascii: bool) -> None:
        """Each item is found, whatever its strings contain."""
        text = json.dumps(values, ensure_ascii=is_ascii)
        items = json_parts.find_items(text.encode("utf-8", "surrogatepass"))
        assert items == [
            json.dumps(value, ensure_ascii=is_ascii).encode(
                "utf-8", "surrogatepass"
            )
            for value in values
        ]

    def test_what_no_decoder_reads(self) -> None:
        """Depth, half a surrogate pair and bytes that are no text."""
        odd_items = [DEEP, b'"\\ud800"', b'"\xff,]"', b'"\n"', b"9" * 9000]
        text = b" [ %s ] " % b" , ".join(odd_items)
        assert json_parts.find_items(text) == odd_items

    @pytest.mark.parametrize(
        "text", [b"", b"7", b"{}", b"[", b"[1", b"[[1]", b"[1]]", b'["]', b"]"]
    )
    def test_no_list(self, text: bytes) -> None:
        """Another type, or a text that is cut short or goes on."""
        with pytest.raises(errors.InvalidObject):
            json_parts.find_items(text)


class TestMembers:
    """Parts of a table."""

    @hypothesis.given(strategies.dictionaries(PLAIN_KEYS, VALUES))
    def test_any_table(self, values_by_key: dict[str, Any]) -> None:
        """Each member is found by its key."""
        text = json.dumps(values_by_key, ensure_ascii=False)
        members = json_parts.find_members(
            text.encode("utf-8", "surrogatepass")
        )
        assert members == {
            key.encode("utf-8", "surrogatepass"): json.dumps(
                value, ensure_ascii=False
            ).encode("utf-8", "surrogatepass")
            for key, value in values_by_key.items()
        }

    def test_odd_members(self) -> None:
        """A member without a plain key is left out, the others hold."""
        text = b'{"\\ud800":1,"a":%s, 7 ,"b":"\xff"}' % DEEP
        members = json_parts.find_members(text)
        assert members == {b"a": DEEP, b"b": b'"\xff"'}

    @pytest.mark.parametrize("text", [b"", b"7", b"[]", b"{", b'{"a":1}}'])
    def test_no_table(self, text: bytes) -> None:
        """Another type, or a text that is cut short or goes on."""
        with pytest.raises(errors.InvalidObject):
            json_parts.find_members(text)
