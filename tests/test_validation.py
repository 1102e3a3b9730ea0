"""Validation of plain values against data classes."""

import dataclasses
import enum
import typing as t
import unittest

from amaranthring import errors
from amaranthring.core import validation


class Colour(enum.StrEnum):
    """A string enumeration."""

    RED = "red"


class Pair(t.NamedTuple):
    """A named tuple whose last field has a default."""

    left: int
    right: int = 7


@dataclasses.dataclass
class Leaf:
    """A data class with a default."""

    name: str
    size: float = 1.0


@dataclasses.dataclass
class Tree:
    """A data class that contains others and itself."""

    leaves: list[Leaf]
    colour: Colour = Colour.RED
    pairs: list[Pair] = dataclasses.field(default_factory=list)
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    above: "Tree | None" = None


class TestValidValues(unittest.TestCase):
    """Conversion of valid values."""

    def test_nested_data_classes(self):
        result = validation.validator(Tree)(
            {
                "leaves": [{"name": "a"}, {"name": "b", "size": 2}],
                "colour": "red",
                "pairs": [[1], [1, 2]],
                "counts": {"x": 3},
                "above": {"leaves": []},
            }
        )
        self.assertEqual([Leaf("a"), Leaf("b", 2.0)], result.leaves)
        self.assertIs(Colour.RED, result.colour)
        self.assertEqual([Pair(1, 7), Pair(1, 2)], result.pairs)
        self.assertEqual([], result.above.leaves)

    def test_unknown_fields_are_ignored(self):
        result = validation.validator(Leaf)({"name": "a", "newer": 1})
        self.assertEqual(Leaf("a"), result)


class TestInvalidValues(unittest.TestCase):
    """Errors for invalid values say what was given and expected."""

    def assert_invalid(self, hint, value, expected):
        with self.assertRaises(errors.FrameError) as caught:
            validation.validator(hint)(value)
        self.assertIn(expected, str(caught.exception))

    def test_missing_field_is_named(self):
        self.assert_invalid(Tree, {"leaves": [{}]}, "Leaf.name")

    def test_wrong_types(self):
        self.assert_invalid(int, True, "int")
        self.assert_invalid(int, "1", "int")
        self.assert_invalid(float, "1", "float")
        self.assert_invalid(str, 1, "str")
        self.assert_invalid(list[int], {"a": 1}, "list")
        self.assert_invalid(dict[str, int], [], "map")
        self.assert_invalid(Colour, "blue", "red")
        self.assert_invalid(t.Literal["a", "b"], "c", "one of")

    def test_tuples_of_wrong_length(self):
        self.assert_invalid(tuple[int, str], [1], "list of 2")
        self.assert_invalid(Pair, [1, 2, 3], "1 to 2 values")

    def test_optional_reports_the_expected_type(self):
        self.assert_invalid(int | None, "x", "int")

    def test_unsupported_hint_raises_type_error(self):
        with self.assertRaises(TypeError):
            validation.validator(object)
