"""Every size, count and rate that the link and the members hold to. Times are microseconds."""

import msgspec

MS, SECOND = 1_000, 1_000_000


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Handed down from the shell; tests make their own."""

    packets_per_second: float = 1_000.0  # a second, taken from one sender
    packet_burst: float = 600.0  # of them at once: two pieces of mail of the largest size
    newcomer_packets_per_second: float = 50.0  # packets a second of senders not known, all together, and their burst
    sync_datagrams_per_second: float = (
        64.0  # datagrams a second with what a digest asked for, to one member, and their burst
    )
    page_bytes: int = 1_040  # bytes of mail in a page: the page, its head and the longest names stay below a datagram
    page_window: int = 16  # pages of one piece of mail that are out and not acked
    max_outgoing_messages: int = 64  # pieces of mail under way to one member; further ones are dropped
    max_page_attempts: int = 6  # times that a page goes out
    resend_delay: int = 60 * MS  # wait for its ack, doubled at each try
    max_resend_delay: int = 400 * MS
    message_lifetime: int = (
        5 * SECOND
    )  # mail that did not arrive by then is dropped, so that nobody wakes with a full outbox
    max_partial_messages: int = 16  # pieces of mail begun and not whole, from one sender
    max_partial_bytes: int = 1 << 20  # of pages kept for them
    completed_ids_kept: int = (
        1_024  # pieces taken that are remembered by number; what is older than all of them is not taken
    )
    max_members: int = 1_024  # names kept, also of those gone
    max_record_kinds: int = 32  # of records, for each owner
    max_queued_updates: int = 4_096  # claims and records waiting to be spread
    # Hearsay of a number higher by more than this is nonsense. A member's own word is not held to it, so that it
    # can always rise above what others were told of it.
    max_generation_jump: int = 1 << 42  # 139 years in milliseconds
    max_generation_jump_unknown: int = 1 << 41  # above the own one, of a name heard of for the first time
    max_incarnation_jump: int = 1 << 20
    max_transit_time: int = 600 * SECOND  # a longer time on the way is nobody's: the echo is not of this process
    # An association: mail with processes that are not members of the own zone.
    max_learned_peers: int = 2_048  # processes learned from their claims
    peer_idle_timeout: int = 30 * SECOND  # without a packet after which a learned one is forgotten
    idle_check_interval: int = 5 * SECOND  # between two looks for those
    max_waiting_messages: int = (
        16  # pieces of mail that wait for the boot number of one process, no longer than `mail_life`
    )
    max_waiting_bytes: int = 1 << 19
    greeting_interval: int = 200 * MS  # between two greetings of it, doubled at each
    max_greeting_interval: int = 2 * SECOND
    introduce_after: int = (
        3 * SECOND
    )  # without a packet of the receiver after which the own claim goes before each frame
    stamp_lifetime: int = 2 * SECOND  # after which a stamp gives way to a lower one: a clock began anew
