"""Figures of a benchmark, each with optional regression bounds."""

import dataclasses
import json


@dataclasses.dataclass
class Figure:
    """One measured figure.

    Attributes
    ----------
    name : str
        What was measured, with its parameters.
    value : float
        Measured value.
    unit : str
        Unit; empty for ratios and counts.
    most, least : float, optional
        Upper and lower regression bounds; None for no bound.
    """

    name: str
    value: float
    unit: str = ""
    most: float | None = None
    least: float | None = None

    @property
    def ok(self) -> bool:
        """Return whether the value is within its bounds."""
        if self.most is not None and self.value > self.most:
            return False
        return self.least is None or self.value >= self.least


@dataclasses.dataclass
class Report:
    """Result of a benchmark's ``run`` function."""

    title: str
    figures: list[Figure] = dataclasses.field(default_factory=list)

    def add(self, name, value, unit="", most=None, least=None) -> None:
        """Add one figure."""
        self.figures.append(Figure(name, value, unit, most, least))

    @property
    def ok(self) -> bool:
        """Return whether every figure is within its bounds."""
        return all(figure.ok for figure in self.figures)

    def table(self) -> str:
        """Return the figures as a text table."""
        lines = [self.title]
        for figure in self.figures:
            bounds = []
            if figure.most is not None:
                bounds.append(f"most {figure.most:g}")
            if figure.least is not None:
                bounds.append(f"least {figure.least:g}")
            mark = "" if figure.ok else "  OUT OF BOUNDS"
            lines.append(
                f"  {figure.name:<58} {figure.value:>12.4g} "
                f"{figure.unit:<8} {', '.join(bounds)}{mark}".rstrip()
            )
        return "\n".join(lines)

    def as_json(self) -> str:
        """Return the figures as JSON."""
        return json.dumps(dataclasses.asdict(self) | {"ok": self.ok})
