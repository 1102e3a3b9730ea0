"""Plain values against data classes."""

import dataclasses
import enum
import typing as t
import unittest

from amaranthring import errors
from amaranthring.core import validation


class Colour(enum.StrEnum):
    """An enumeration of texts."""

    RED = "red"


class Pair(t.NamedTuple):
    """A tuple whose last value a newer version has added."""

    left: int
    right: int = 7


@dataclasses.dataclass
class Leaf:
    """A record with a default."""

    name: str
    size: float = 1.0


@dataclasses.dataclass
class Tree:
    """A record that holds others, and itself."""

    leaves: list[Leaf]
    colour: Colour = Colour.RED
    pairs: list[Pair] = dataclasses.field(default_factory=list)
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    above: "Tree | None" = None


class TestReader(unittest.TestCase):
    """What a reader takes and makes."""

    def test_nested_records(self):
        found = validation.validator(Tree)(
            {
                "leaves": [{"name": "a"}, {"name": "b", "size": 2}],
                "colour": "red",
                "pairs": [[1], [1, 2]],
                "counts": {"x": 3},
                "above": {"leaves": []},
            }
        )
        self.assertEqual([Leaf("a"), Leaf("b", 2.0)], found.leaves)
        self.assertIs(Colour.RED, found.colour)
        self.assertEqual([Pair(1, 7), Pair(1, 2)], found.pairs)
        self.assertEqual([], found.above.leaves)

    def test_unknown_fields_are_passed_over(self):
        found = validation.validator(Leaf)({"name": "a", "newer": 1})
        self.assertEqual(Leaf("a"), found)


class TestFaults(unittest.TestCase):
    """What a reader refuses, saying what was given and expected."""

    def check(self, hint, value, expected):
        with self.assertRaises(errors.FrameError) as caught:
            validation.validator(hint)(value)
        self.assertIn(expected, str(caught.exception))

    def test_missing_field_is_named(self):
        self.check(Tree, {"leaves": [{}]}, "Leaf.name")

    def test_kinds_are_not_mixed_up(self):
        self.check(int, True, "int")
        self.check(int, "1", "int")
        self.check(float, "1", "float")
        self.check(str, 1, "str")
        self.check(list[int], {"a": 1}, "list")
        self.check(dict[str, int], [], "map")
        self.check(Colour, "blue", "red")
        self.check(t.Literal["a", "b"], "c", "one of")

    def test_tuples_of_a_wrong_length(self):
        self.check(tuple[int, str], [1], "list of 2")
        self.check(Pair, [1, 2, 3], "1 to 2 values")

    def test_optional_names_the_fault_of_the_value(self):
        self.check(int | None, "x", "int")

    def test_unknown_hint_is_a_fault_of_the_code(self):
        with self.assertRaises(TypeError):
            validation.validator(object)
