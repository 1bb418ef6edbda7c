"""Problems of a published sheet."""

from dataclasses import dataclass

from mulberryswitch.contracts import ResultCode

__all__ = ["Problem", "SheetProblemError", "SheetRefusedError"]


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Problem:
    """One invalid item of a sheet; `item` is a path, a name or an address in the document."""

    code: ResultCode
    item: str
    message: str


class SheetProblemError(ValueError):
    """One problem as a member of ``SheetRefusedError``."""

    def __init__(self, problem: Problem):
        super().__init__(f"{problem.code.value} {problem.item}: {problem.message}")
        self.problem = problem


class SheetRefusedError(ExceptionGroup):
    """A sheet is refused.

    Attributes
    ----------
    problems : tuple of Problem
        Every invalid item, ordered by code and item.
    """

    def __new__(cls, problems: tuple[Problem, ...]):
        """Build the group from its problems."""
        members = [SheetProblemError(problem) for problem in problems]
        return super().__new__(cls, f"sheet refused with {len(problems)} problems", members)

    def __init__(self, problems: tuple[Problem, ...]):
        self.problems = problems

    def derive(self, excs):
        """Return a group of the same kind for a subset of the problems."""
        return SheetRefusedError(tuple(exc.problem for exc in excs))
