"""Local replica of the routes and targets that the platform's store publishes."""

from ._chunks import ChunkError, ChunkStore, Outline, build_outline, index_chunks
from ._departures import Departure, DepartureCause
from ._directory import Directory
from ._evacuations import EvacuatedZone, Evacuations
from ._feed import Feed, Source
from ._read_planner import Pause, ReadAll, ReadPlanner, Watch
from ._records import (
    START,
    ColdLimit,
    DecodeRecord,
    Evacuation,
    Manifest,
    Position,
    Record,
    RecordContent,
    Route,
    RouteKey,
    Target,
    TrafficKind,
)
from ._restore import Heritage
from ._tokens import NO_TOKEN, build_token

__all__ = [
    "NO_TOKEN",
    "START",
    "ChunkError",
    "ChunkStore",
    "ColdLimit",
    "DecodeRecord",
    "Departure",
    "DepartureCause",
    "Directory",
    "EvacuatedZone",
    "Evacuation",
    "Evacuations",
    "Feed",
    "Heritage",
    "Manifest",
    "Outline",
    "Pause",
    "Position",
    "ReadAll",
    "ReadPlanner",
    "Record",
    "RecordContent",
    "Route",
    "RouteKey",
    "Source",
    "Target",
    "TrafficKind",
    "Watch",
    "build_outline",
    "build_token",
    "index_chunks",
]
