"""Shortened plays of the fleet machine that once failed: names of rules with their arguments."""

__all__ = ["LATE_CHANGE_AT_A_STANDBY", "TWO_OWNERS_AND_A_JOIN"]

# A zone that hears the others is not heard; its owner took over before a standby got a new flow.
LATE_CHANGE_AT_A_STANDBY = (
    ("change_targets", {"change": "add", "number": 5}),
    ("open_flows", {"count": 11, "number": 0}),
    ("join", {}),
    ("see_changes", {"number": 1}),
    ("cut_zone", {"number": 2, "one_way": True}),
    ("open_flows", {"count": 13, "number": 0}),
    ("see_changes", {"number": 5}),
    ("advance", {"quarters": 23}),
    ("advance", {"quarters": 1}),
    ("kill", {"count": 1, "number": 0}),
    ("open_flows", {"count": 1, "number": 0}),
)

# An owner on one side of a cut is asked for a flow of the other side just after the heal.
TWO_OWNERS_AND_A_JOIN = (
    ("kill", {"count": 1, "number": 1}),
    ("open_flows", {"count": 29, "number": 0}),
    ("cut_zone", {"number": 0, "one_way": True}),
    ("heal", {}),
    ("cut_zone", {"number": 0, "one_way": True}),
    ("close_flow", {"number": 0}),
    ("join", {}),
    ("open_flows", {"count": 5, "number": 0}),
    ("heal", {}),
    ("join", {}),
    ("join", {}),
    ("open_flows", {"count": 2, "number": 0}),
    ("cut_zone", {"number": 2, "one_way": True}),
    ("advance", {"quarters": 11}),
    ("heal", {}),
    ("open_flows", {"count": 28, "number": 0}),
    ("open_flows", {"count": 5, "number": 2}),
    ("cut_zone", {"number": 1, "one_way": True}),
    ("advance", {"quarters": 20}),
    ("close_flow", {"number": 1}),
    ("advance", {"quarters": 3}),
    ("heal", {}),
    ("see_changes", {"number": 3}),
    ("kill", {"count": 1, "number": 1}),
    ("join", {}),
    ("kill", {"count": 1, "number": 1}),
)
