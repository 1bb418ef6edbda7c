"""View that the services of one VM share: configuration in force and members."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from mulberryswitch.contracts import Sheet, TargetState
from mulberryswitch.vms import Member

__all__ = ["View", "build_effective_sheet"]


@dataclass(kw_only=True, slots=True)
class View:
    """Local view on which routing decisions are based.

    Attributes
    ----------
    sheet : Sheet or None
        Configuration in force, with the targets that the platform lists as leaving marked so.
    members : tuple of Member
        Live members.
    members_version : int
        Incremented with each change of the members.
    """

    vm: str
    zone: str
    sheet: Sheet | None = None
    members: tuple[Member, ...] = ()
    members_version: int = 0


def build_effective_sheet(sheet: Sheet, leaving: Iterable[str]) -> Sheet:
    """Return `sheet` with the targets named in `leaving` marked as leaving."""
    names = frozenset(leaving)
    services = {
        name: replace(
            service,
            targets=tuple(
                replace(target, state=TargetState.LEAVING) if target.name in names else target
                for target in service.targets
            ),
        )
        for name, service in sheet.services.items()
    }
    return replace(sheet, services=services)
