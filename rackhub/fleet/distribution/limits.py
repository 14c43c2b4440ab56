"""Sizes, counts and times of distribution. Times are microseconds, sizes are bytes."""

import msgspec

MILLISECOND, SECOND = 1_000, 1_000_000

MAX_KEY_BYTES = 256  # size of a key in UTF-8
MAX_ENTRY_VALUE_BYTES = 16_384  # size of one value
MAX_CHANGE_BYTES = 65_536  # size of all keys and values of one change
MAX_CHANGE_ENTRIES = 256  # number of keys that one change sets or deletes
MAX_UPDATE_BYTES = 131_072  # size of the keys and values in one message; with its header it fits in one link message
MAX_SCOPE_PREFIXES = 64  # number of key prefixes in one scope
MAX_LAGGING_NAMED = 5  # number of lagging watchers named in one report
MAX_FAULT_KEYS = 8  # number of rejected keys named in one acknowledgement
MAX_FAULT_REASON_CHARS = 200  # length of the reason for one rejected key; longer ones are cut


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the cores. The shells use the defaults, tests use their own."""

    heartbeat_interval: int = 2 * SECOND  # longest pause between two messages to a watcher
    upstream_timeout: int = 5 * SECOND  # A watcher leaves an upstream that sends nothing for this long.
    max_staleness: int = 6 * SECOND  # A watcher looks for another upstream if the current one is stale for this long.
    watch_timeout: int = 1 * SECOND  # time for the first answer to a watch
    min_retry_delay: int = 250 * MILLISECOND  # first delay between attempts to watch an upstream; it doubles each time
    max_retry_delay: int = 2 * SECOND  # longest delay between these attempts while there is no upstream
    acknowledge_timeout: int = 2 * SECOND  # time after which unacknowledged messages are sent again
    max_credit: int = 4  # number of unacknowledged messages on one watch
    session_timeout: int = 8 * SECOND  # A server ends the session of a watcher that sends nothing for this long.
    max_log_steps: int = 4_096  # Steps kept for watchers that resume; a watcher at an older revision needs a snapshot.
    max_log_bytes: int = 8 << 20  # size of these steps
    max_update_bytes: int = MAX_UPDATE_BYTES  # size of one update or snapshot part; a larger change is sent whole
    max_watches_per_s: float = 50.0  # new watches that one server accepts per second; also the burst
    max_snapshots_per_s: float = 20.0  # snapshots that one server starts per second; also the burst
    max_foreign_watchers: int = 200  # watchers of other zones that one relay accepts
    max_watchers: int = 1_024  # watchers that one server accepts
    report_interval: int = 1 * SECOND  # time between two reports; after progress as little as a quarter of it
    max_report_age: int = 5 * SECOND  # Older reports are ignored.
    check_timeout: int = 4 * SECOND  # time for the answers to a check before an edit
