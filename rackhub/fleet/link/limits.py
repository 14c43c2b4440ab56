"""Sizes, counts and rates that bound the link and the membership. Times are microseconds."""

import msgspec

MS, SECOND = 1_000, 1_000_000


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Passed down from the shells; tests use values of their own."""

    packets_per_second: float = 1_000.0  # accepted from one sender
    packet_burst: float = 600.0  # packets at once from one sender: two messages of the largest size
    newcomer_packets_per_second: float = 50.0  # total from all unknown senders; also their burst
    sync_datagrams_per_second: float = 64.0  # sent to one member in anti-entropy exchanges; also their burst
    page_bytes: int = 1_040  # message bytes in a page; with headers and the longest names it fits a datagram
    page_window: int = 16  # unacknowledged pages of one message
    max_outgoing_messages: int = 64  # messages in transit to one member; further ones are dropped
    max_page_attempts: int = 6  # sendings of one page
    resend_delay: int = 60 * MS  # time allowed for the ack of a page, doubled at each attempt
    max_resend_delay: int = 400 * MS  # upper bound of the doubled delay
    # A message not delivered by then is dropped, so that no process resumes from a pause with a full outbox.
    message_lifetime: int = 5 * SECOND
    max_partial_messages: int = 16  # incomplete messages from one sender
    max_partial_bytes: int = 1 << 20  # size of the pages kept for them
    completed_ids_kept: int = 1_024  # completed messages remembered by id; any smaller id is not accepted
    max_members: int = 1_024  # names kept, including those of members that are gone
    max_record_kinds: int = 32  # kinds of records of one owner
    max_queued_updates: int = 4_096  # claims and records in the dissemination queue
    # Hearsay of a number higher by more than this is implausible. A member's own claim is not limited, so that it
    # can always rise above what others were told of it.
    max_generation_jump: int = 1 << 42  # 139 years in milliseconds
    max_generation_jump_unknown: int = 1 << 41  # above the local generation, for a name not known yet
    max_incarnation_jump: int = 1 << 20
    max_transit_time: int = 600 * SECOND  # a longer transit time is impossible: the echo is not of this process
    # Associations: messages with processes that are not members of the local zone.
    max_learned_peers: int = 2_048  # processes learned from their claims
    peer_idle_timeout: int = 30 * SECOND  # time without packets after which a learned process is forgotten
    idle_check_interval: int = 5 * SECOND  # time between two checks for idle processes
    max_waiting_messages: int = 16  # messages that wait, up to `message_lifetime`, for one process's generation
    max_waiting_bytes: int = 1 << 19  # size of those messages
    greeting_interval: int = 200 * MS  # time between two greetings of a process, doubled at each
    max_greeting_interval: int = 2 * SECOND  # upper bound of the doubled interval
    introduce_after: int = 3 * SECOND  # time without packets from a receiver after which the local claim is sent again
    stamp_lifetime: int = 2 * SECOND  # age at which a lower stamp replaces one: the sender's clock was reset
