"""What the parent of a run and its processes say to one another: one JSON object a line, over pipes.

All times are microseconds of CLOCK_MONOTONIC. Processes of one machine share that clock, which is why a trial may
subtract times of two of them; the program itself never compares clocks of two processes.
"""

import msgspec

from rackhub.trials.scale.audit import Acknowledged
from rackhub.trials.scale.settings import RunSettings
from rackhub.trials.scale.trace import Trace


class Order(msgspec.Struct, frozen=True, tag=True):
    """From the parent."""


class Begin(Order, frozen=True):
    """Be these places of the layout, with ports from `base_port` on and that boot number."""

    settings: RunSettings
    places: tuple[str, ...]
    base_port: int
    boot: int


class BeginReal(Order, frozen=True):
    """Be real coordinators under light traffic, with distribution or, to compare, without."""

    settings: RunSettings
    base_port: int
    distribution: bool


class CutOff(Order, frozen=True):
    """From now on nothing passes between these zones and all others; none: all is healed."""

    zones: tuple[str, ...]


class RestartCoordinator(Order, frozen=True):
    """End it, and begin it anew after so many seconds, on its disk."""

    name: str
    down: float


class Edit(Order, frozen=True):
    """To the voter that edits: make the next change."""


class Poll(Order, frozen=True):
    """Tell how it stands."""


class Finish(Order, frozen=True):
    """Tell all that happened; the process ends when its pipe does."""


AnyOrder = Begin | BeginReal | CutOff | RestartCoordinator | Edit | Poll | Finish


class Report(msgspec.Struct, frozen=True, tag=True):
    """To the parent."""


class Begun(Report, frozen=True):
    """The places of this process are open; `memory` was resident before they were made."""

    memory: int


class Edited(Report, frozen=True):
    """The edit was acknowledged; without `acknowledged`, it was refused or its outcome is not known."""

    acknowledged: Acknowledged | None = None
    why: str = ""


class Polled(Report, frozen=True, kw_only=True):
    """`lowest`: of the revisions in force or held here. `ready`: a voter here has been let in, and votes; `lagging`:
    coordinators that it counts as behind the newest revision. `lateness`: seconds by which timers were late since the
    poll before. Bytes are with the heads of IP and UDP, `cpu` is seconds of this process."""

    lowest: int
    ready: bool
    lagging: int
    bytes_in: int
    bytes_out: int
    members_bytes: int
    cpu: float
    memory: int
    lateness: tuple[float, ...] = ()


class Restarted(Report, frozen=True):
    """A coordinator was down from `start` to `end`."""

    name: str
    start: int
    end: int


class Finished(Report, frozen=True):
    """`counters` of all places of this process together. `content`: of a voter, the digest of what it holds in the
    scope of each zone; `status`: what it tells an operator."""

    traces: tuple[Trace, ...] = ()
    content: dict[str, str] = {}
    status: str = ""
    counters: dict[str, int] = {}


class FinishedReal(Report, frozen=True, kw_only=True):
    """What clients saw of real coordinators. `cpu`: seconds of their processes. `faults`: requests lost, doubled and
    the like, by kind. `revisions`: in force at each at the end."""

    requests: int
    served: int
    refused: int
    failed: int
    cpu: float
    faults: dict[str, int] = {}
    revisions: tuple[int, ...] = ()


AnyReport = Begun | Edited | Polled | Restarted | Finished | FinishedReal

encode = msgspec.json.Encoder().encode
decode_order = msgspec.json.Decoder(AnyOrder).decode
decode_report = msgspec.json.Decoder(AnyReport).decode
