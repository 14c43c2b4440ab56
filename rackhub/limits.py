"""Every size, count and time that the program holds itself to, in one type filled at start and handed down."""

import msgspec

MS, SECOND = 1_000, 1_000_000


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Times are microseconds, sizes bytes. What a site tells replaces the default (see `config`)."""

    sockets: int = 1_024  # file descriptors over all processes
    memory_mb: int = 192

    # clients
    request_line: int = 65_536  # one request with its statement in base64
    open_requests: int = 32  # on one client connection
    backstop: int = 10 * MS  # after a deadline the core answers for a module that did not; 50 ms are allowed
    sweep: int = 15 * MS  # how often deadlines are looked at
    margin: int = 60 * MS  # before a client's deadline, with no lag: the way there and a turn of the loop
    behind: int = 50 * MS  # the loop is so late: new requests are refused until it has caught up
    handover: int = 10 * MS  # from giving an attempt up to telling it: the next one must not overtake it
    held_requests: int = 1_000  # in the whole program: what memory allows
    held_bytes: int = 16_777_216  # of their statements, all together
    collect: int = 5 * SECOND  # how often what is in cycles is freed
    client_connections: int = 400  # a third of 1,024 is promised; more leaves too little for engines
    look: int = 250 * MS  # how often clients are looked at for these:
    first_message: int = 1_750 * MS  # from connecting to a first whole message; 3 s are owed at most
    half_message: int = 1_750 * MS  # from the first byte of a message to its last
    client_idle: int = 5 * SECOND  # with nothing open; usual clients close after 4 s
    idle_crowded: int = 1 * SECOND  # the same where more than half of the connections are taken
    unread: int = 5 * SECOND  # for a client to take what fills its buffer
    leaving: int = 16  # connections cut whose descriptors are not free yet
    free_faults: int = 2  # on one connection, before each costs a while of not being read from
    penance: int = 100 * MS
    penance_most: int = 1 * SECOND
    recent_ids: int = 2_048  # ids of requests answered last, which are not new
    linger: int = 2 * SECOND  # for a peer to take the last bytes of a connection that closes, and to close it too
    dropped: int = 1_048_576  # bytes read and dropped of a client whose connection ends
    unread_turn: int = 30 * MS  # the loop is so late: attempts wait until sockets are read; clients may have gone
    read: int = 65_536  # bytes that one read of a socket brings at most

    # engines
    dial_timeout: int = 250 * MS
    engine_idle: int = 30 * SECOND
    engine_open: int = 100  # attempts on one connection
    engine_connections: int = 8  # to one engine
    engine_links: int = 400  # to all engines: what clients leave of the descriptors
    head: int = 64  # a RESP head line
    frame: int = 16_384  # one bulk string of an engine
    page: int = 6_000  # the most that a page may hold
    result: int = 48_000  # all pages of a result
    pages: int = 64
    unwritable: int = 250 * MS  # an attempt that its connection's socket does not take for so long goes elsewhere
    retired_send: int = 100 * MS  # for what was sent to an engine that takes nothing new to be confirmed by its kernel
    half_frame: int = 400 * MS  # a frame that has begun and has not come whole: the connection is of no more use
    spread: int = 4  # connections to one engine before they are shared by more than `few` attempts each
    few: int = 3
    silence: int = 1_500 * MS  # nothing heard for so long with work out: new work takes a new connection
    stale: int = 30 * SECOND  # for so long an id given up on a connection is not used on it again

    # TDS
    tds_connections: int = 100
    tds_login: int = 10 * SECOND  # to log in
    tds_half: int = 10 * SECOND  # from the first byte of a message to its last
    tds_idle: int = 600 * SECOND  # drivers keep connections for later
    tds_unread: int = 60 * SECOND  # rows are read page by page, at the pace of whoever looks at them
    tds_message: int = 262_144  # one request
    tds_token: int = 65_536  # one token of an engine's answer
    tds_engine_connections: int = 32  # to one engine: each carries one attempt at a time

    # resolver
    poll: int = 250 * MS  # longer where many coordinators are told: see config
    poll_again: int = 60 * MS  # after a query to which no good answer came; twice as long after each further one,
    poll_again_most: int = 500 * MS  # up to this: news must be here 1.5 s after it happened, and one call may fail
    poll_spread: float = 0.2  # part of each of these times that is left to chance, so that no fleet asks in step
    fleet_polls: int = 160  # answered calls in a second by all coordinators together
    packet: int = 32_768  # some 300 engines; the platform sends 8,000 bytes at most
    polls_open: int = 16  # queries whose answers are still taken
    polls_silent: int = 3  # queries in a row without a good answer: the next one takes a new socket
    resolver_sockets: int = 4  # kept open, as answers may be slower than the step from one socket to the next
    told_prompt: int = 1_500 * MS  # after an event the coordinator counts as told of it, where the resolver answers,
    told_longest: int = 7 * SECOND  # and where it does not
    answer_patience: int = 800 * MS  # for an answer after a pause, before the resolver counts as silent
    lease_margin: int = 100 * MS  # by which the list is given up early: an attempt has a way to go

    # the second address
    ops_connections: int = 32  # callers at once; more are told no at once
    ops_line: int = 512  # one call
    ops_answer: int = 800 * MS  # a call not whole by then is told no: 1 s is owed
    ops_linger: int = 1 * SECOND  # for the caller to take the answer before the connection is cut
    ops_fresh: int = 100 * MS  # how often it is looked whether another process was told of engines out by hand

    # the end
    read_after_term: int = 650 * MS  # requests on open connections: what comes 0.7 s after SIGTERM is lost unanswered
    kill_capped: int = 3 * SECOND  # the longest deadline is counted as this where it is longer
    accept_after_term: int = 900 * MS  # 0.7 s are promised; the rest is slack for a late scheduler
