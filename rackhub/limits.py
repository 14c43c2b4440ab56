"""Every size, count and time that the process holds itself to, in one type that is filled at start."""

import msgspec

MS, SECOND = 1_000, 1_000_000


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Times are microseconds, sizes bytes. What a site configures replaces the default (see `config`)."""

    sockets: int = 1_024  # file descriptors over all processes
    memory_mb: int = 192

    # clients
    request_line: int = 65_536  # one request with its statement in base64
    open_requests: int = 32  # on one client connection
    backstop: int = 10 * MS  # after a deadline without a decision the core answers itself
    sweep: int = 15 * MS  # interval between two checks of deadlines
    margin: int = 60 * MS  # before a client's deadline: network and one event-loop iteration
    behind: int = 50 * MS  # event-loop delay from which new requests are rejected
    handover: int = 10 * MS  # from cancelling an attempt to its completion: a retry must not overtake the cancellation
    held_requests: int = 1_000  # open requests of all clients
    held_bytes: int = 16_777_216  # statements of all open requests together
    collect: int = 5 * SECOND  # interval of the garbage collector
    client_connections: int = 400
    look: int = 250 * MS  # interval between two checks of the client timeouts below
    first_message: int = 1_750 * MS  # from connecting to a first complete message
    half_message: int = 1_750 * MS  # from the first byte of a message to its last
    client_idle: int = 5 * SECOND  # with no request open
    idle_crowded: int = 1 * SECOND  # the same where more than half of the connections are in use
    unread: int = 5 * SECOND  # for a client to drain its full send buffer
    leaving: int = 16  # aborted connections whose descriptors are not free yet
    free_faults: int = 2  # malformed messages on one connection before reading is paused after each
    penance: int = 100 * MS
    penance_most: int = 1 * SECOND
    recent_ids: int = 2_048  # ids of the requests answered last, which are refused as duplicates
    linger: int = 2 * SECOND  # for a peer to receive the last bytes of a half-closed connection, and to close it too
    dropped: int = 1_048_576  # bytes read and discarded after a connection is half-closed
    unread_turn: int = (
        30 * MS
    )  # event-loop delay from which attempts wait until sockets are read: clients may have gone
    read: int = 65_536  # of one socket read

    # engines
    dial_timeout: int = 250 * MS
    engine_idle: int = 30 * SECOND
    engine_open: int = 100  # attempts on one connection
    engine_connections: int = 8  # to one engine
    engine_links: int = 400  # to all engines together
    head: int = 64  # a RESP head line
    frame: int = 16_384  # one bulk string of an engine
    page: int = 6_000  # one page of a result
    result: int = 48_000  # all pages of a result together
    pages: int = 64
    unwritable: int = 250 * MS  # an attempt whose socket is not writable for so long goes to another engine
    retired_send: int = 100 * MS  # for bytes sent to a removed engine to be acknowledged by its kernel
    half_frame: int = 400 * MS  # from the first byte of a frame to its last
    spread: int = 4  # connections to one engine before one of them carries more than `few` attempts
    few: int = 3
    silence: int = 1_500 * MS  # without a byte received while attempts are in flight: new attempts use a new connection
    stale: int = 30 * SECOND  # before a cancelled id may be used again on the same connection

    # TDS
    tds_connections: int = 100
    tds_login: int = 10 * SECOND  # from connecting to a completed login
    tds_half: int = 10 * SECOND  # from the first byte of a message to its last
    tds_idle: int = 600 * SECOND  # drivers pool their connections
    tds_unread: int = 60 * SECOND  # rows are read at the pace of a person
    tds_message: int = 262_144  # one request
    tds_token: int = 65_536  # one token of an engine's answer
    tds_engine_connections: int = 32  # to one engine: each carries one attempt at a time

    # resolver
    poll: int = 250 * MS  # longer where many coordinators are configured, see `config`
    poll_again: int = 60 * MS  # after a failed poll; doubled after each further one,
    poll_again_most: int = 500 * MS  # up to this
    poll_spread: float = 0.2  # jitter, as a fraction of each interval
    fleet_polls: int = 160  # polls per second of all coordinators together
    packet: int = 32_768  # one answer
    polls_open: int = 16  # polls whose answers are still accepted
    polls_silent: int = 3  # failed polls in a row before the next one uses a new socket
    resolver_sockets: int = 4  # kept open for late answers
    told_prompt: int = 1_500 * MS  # from an event to its notification by the protocol, while the resolver answers,
    told_longest: int = 7 * SECOND  # and while it does not
    answer_patience: int = 800 * MS  # for an answer after a pause, before the resolver counts as unresponsive
    lease_margin: int = 100 * MS  # by which the endpoint lease ends early: an attempt takes time to arrive

    # the operators' port
    ops_connections: int = 32  # open connections; further ones are rejected
    ops_line: int = 512  # one call
    ops_answer: int = 800 * MS  # for a complete call
    ops_linger: int = 1 * SECOND  # for the caller to receive the answer before the connection is aborted
    ops_fresh: int = 100 * MS  # interval between two reads of the handover file

    # graceful shutdown
    read_after_term: int = 650 * MS  # for requests on open connections after SIGTERM
    kill_capped: int = 3 * SECOND  # upper bound of the longest deadline in the time to SIGKILL
    accept_after_term: int = 900 * MS  # for new connections after SIGTERM
