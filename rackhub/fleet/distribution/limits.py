"""Every size, count and time that distribution holds to. Times are microseconds, sizes are bytes."""

import msgspec

MILLISECOND, SECOND = 1_000, 1_000_000

MAX_KEY_BYTES = 256  # most bytes of a key, in UTF-8
VALUE_BYTES = 16_384  # most bytes of one value
CHANGE_BYTES = 65_536  # most bytes of all keys and values of one change
CHANGE_ENTRIES = 256  # most keys that one change may set or delete
UPDATE_BYTES = 131_072  # most bytes of keys and values in one message: with its head it fits in one piece of mail
MAX_SCOPE_PREFIXES = 64  # most prefixes in one scope
WORST = 5  # names of the members that lag most, in one report
FAULT_KEYS = 8  # keys that could not be applied, named in one acknowledgement
FAULT_LETTERS = 200  # letters kept of the reason for one of them


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Handed down from the shell; tests make their own."""

    heartbeat_interval: int = 2 * SECOND  # between two messages to a watcher that has nothing new to get
    upstream_timeout: int = 5 * SECOND  # without a word from the upstream after which the watcher goes to another one
    max_staleness: int = (
        6 * SECOND
    )  # an upstream that has itself heard nothing from above for so long is left for a fresher one
    watch_timeout: int = 1 * SECOND  # until a watch that has no answer is asked again, elsewhere
    min_retry_delay: int = 250 * MILLISECOND  # between two tries at upstreams, growing
    max_retry_delay: int = 2 * SECOND
    acknowledge_timeout: int = 2 * SECOND  # until an update without an acknowledgement is sent again
    max_credit: int = 4  # updates that a watcher lets be under way to it without an acknowledgement
    session_timeout: int = 8 * SECOND  # without a word from a watcher after which its session ends
    max_log_steps: int = 4_096  # changes kept for watchers that resume; older revisions need a snapshot
    max_log_bytes: int = 8 << 20
    max_update_bytes: int = UPDATE_BYTES  # in one update or part of a snapshot; one change may be more
    max_watches_per_s: float = 50.0  # watches that a server answers a second, and their burst
    max_snapshots_per_s: float = 20.0  # snapshots among them a second, and their burst
    max_foreign_watchers: int = 200  # watchers of other zones that one relay takes at the same time
    max_watchers: int = 1_024  # watchers that one server takes
    report_interval: int = 1 * SECOND  # between two reports; sooner, at most four a second, when something changed
    max_report_age: int = 5 * SECOND  # a report that is older does not count
    check_timeout: int = 4 * SECOND  # for the answers to a check before an edit
