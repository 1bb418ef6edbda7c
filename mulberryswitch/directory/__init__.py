"""Local replica of the routes and targets that the platform's store publishes."""

from ._directory import Departure, DepartureCause, Directory
from ._feed import Feed, Source
from ._read_planner import Pause, ReadAll, ReadPlanner, Watch
from ._records import DecodeRecord, Manifest, Record, Route, RouteKey, Target, TrafficKind
from ._tokens import NO_TOKEN, build_token

__all__ = [
    "NO_TOKEN",
    "DecodeRecord",
    "Departure",
    "DepartureCause",
    "Directory",
    "Feed",
    "Manifest",
    "Pause",
    "ReadAll",
    "ReadPlanner",
    "Record",
    "Route",
    "RouteKey",
    "Source",
    "Target",
    "TrafficKind",
    "Watch",
    "build_token",
]
