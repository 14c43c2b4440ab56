"""Associations between processes of different zones: a faulty network, restarts, and dropped datagrams."""

import heapq
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet import task

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.association import Association, DatagramReceivedFrom
from rackhub.fleet.link.limits import MS, SECOND, Limits
from rackhub.fleet.link.message_transport import MessageTransport
from rackhub.fleet.members.context import MessageReceived, SendDatagram
from rackhub.fleet.members.events import DatagramReceived, SendMessage, Tick
from rackhub.fleet.ports import MAX_MESSAGE_BYTES

START = 5 * SECOND
RELAY, COORDINATOR, OTHER = ("10.0.0.1", 7), ("10.0.0.2", 7), ("10.0.0.3", 7)
DIRECTORY = {"relay": RELAY}


class Network:
    """Associations at addresses in virtual time, with loss, duplication, reordering and cuts."""

    def __init__(self, seed=0, loss=0.0, duplication=0.0, max_delay=0):
        self.random, self.loss, self.duplication, self.max_delay = random.Random(seed), loss, duplication, max_delay
        self.now, self.queue, self.order = START, [], 0
        self.processes, self.messages, self.sent = {}, [], []

    def join(self, name, address, generation=1, directory=DIRECTORY, limits=None):
        process = Association("c", name, generation, address, directory, limits or Limits(), self.now, 1)
        self.processes[address] = process
        return process

    def send(self, process, to, body, kind="k"):
        self.perform(process, process.step(self.now, SendMessage(to, kind, body)))

    def perform(self, process, effects):
        source = next(address for address, other in self.processes.items() if other is process)
        for effect in effects:
            if isinstance(effect, MessageReceived):
                self.messages.append((process.name, effect.sender, effect.kind, effect.body))
                continue
            self.sent.append((source, effect))
            for _ in range(1 + (self.random.random() < self.duplication)):
                if self.random.random() >= self.loss:
                    self.schedule(1 * MS + self.random.randint(0, self.max_delay), source, effect)

    def schedule(self, delay, source, out):
        self.order += 1
        heapq.heappush(self.queue, (self.now + delay, self.order, source, out))

    def run(self, span):
        end = self.now + span
        while True:
            ticks = [(process.due(), address) for address, process in self.processes.items()]
            soonest = min([due for due, _ in ticks] + [entry[0] for entry in self.queue[:1]])
            if soonest > end:
                self.now = end
                return
            self.now = max(self.now, soonest)
            while self.queue and self.queue[0][0] <= self.now:
                _, _, source, out = heapq.heappop(self.queue)
                process = self.processes.get(out.to)
                if process is not None:
                    self.perform(process, process.step(self.now, DatagramReceivedFrom(out.data, source)))
            for due, address in ticks:
                if due <= self.now:
                    self.perform(self.processes[address], self.processes[address].step(self.now, Tick()))

    def bodies(self, name):
        return [body for receiver, _, _, body in self.messages if receiver == name]


def pair(**faults):
    network = Network(**faults)
    return network, network.join("relay", RELAY), network.join("coordinator", COORDINATOR)


def packet(name="coordinator", generation=1, to="relay", cluster="c", address=COORDINATOR, frames=(), claim=True):
    claims = [f.Claim(name, *address, generation, 0, f.ALIVE)] if claim else []
    raws = [msgspec.Raw(f.encode(frame)) for frame in [*claims, *frames]]
    return f.encode_datagram(f.Packet(f.VERSION, cluster, name, generation, to, 1, 0, 0, raws))


def test_messages_reach_a_configured_peer_and_a_learned_one():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"up")
    network.run(100 * MS)
    assert network.messages == [("relay", "coordinator", "k", b"up")]
    network.send(relay, "coordinator", b"down" * 10_000)
    network.run(100 * MS)
    assert network.messages[1:] == [("coordinator", "relay", "k", b"down" * 10_000)]
    assert not relay.faults and not coordinator.faults


def test_an_idle_association_sends_nothing():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"up")
    network.run(1 * SECOND)
    before = len(network.sent)
    network.run(20 * SECOND)
    assert len(network.sent) == before


def test_the_claim_is_sent_only_if_the_receiver_may_not_know_this_process():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"1")
    network.run(100 * MS)
    network.sent.clear()
    network.send(coordinator, "relay", b"2")
    network.run(100 * MS)
    first = f.decode_datagram(network.sent[0][1].data)
    assert [type(f.decode_frame(raw)) for raw in first.frames] == [f.Page]
    network.run(Limits().introduce_after)
    network.send(coordinator, "relay", b"3")
    assert isinstance(f.decode_frame(f.decode_datagram(network.sent[-1][1].data).frames[0]), f.Claim)


def test_messages_to_an_absent_peer_wait_within_bounds():
    network = Network()
    coordinator = network.join("coordinator", COORDINATOR)
    for _ in range(Limits().max_waiting_messages + 3):
        network.send(coordinator, "relay", b"x")
    assert coordinator.counts["mail_over"] == 3
    network.run(Limits().message_lifetime + 1 * SECOND)
    assert coordinator.counts["mail_lost"] == Limits().max_waiting_messages
    assert 3 <= coordinator.counts["greetings"] <= 12
    network.join("relay", RELAY)
    network.send(coordinator, "relay", b"new")
    network.run(3 * SECOND)
    assert network.bodies("relay") == [b"new"]


def test_waiting_messages_are_bounded_by_bytes():
    network = Network()
    coordinator = network.join("coordinator", COORDINATOR)
    for _ in range(3):
        network.send(coordinator, "relay", bytes(MAX_MESSAGE_BYTES))
    assert coordinator.counts["mail_over"] == 1


def test_a_restarted_receiver_gets_later_messages():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"1")
    network.run(100 * MS)
    relay = network.join("relay", RELAY, generation=2)
    for number in range(20):
        network.send(coordinator, "relay", b"after %d" % number)
        network.run(400 * MS)
    received = network.bodies("relay")
    assert received[-1] == b"after 19" and len(received) >= 1 + 20 - 9
    network.send(relay, "coordinator", b"back")
    network.run(100 * MS)
    assert network.bodies("coordinator") == [b"back"]


def test_a_restarted_sender_loses_no_message():
    network, relay, coordinator = pair()
    for _ in range(3):
        network.send(coordinator, "relay", b"before")
        network.run(100 * MS)
    coordinator = network.join("coordinator", COORDINATOR, generation=2)
    for _ in range(3):
        network.send(coordinator, "relay", b"after")
        network.run(100 * MS)
    assert network.bodies("relay") == [b"before"] * 3 + [b"after"] * 3


def test_a_learned_peer_that_restarted_elsewhere_is_reached_there():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"x")
    network.run(100 * MS)
    del network.processes[COORDINATOR]
    moved = network.join("coordinator", OTHER, generation=2)
    network.send(moved, "relay", b"y")
    network.run(100 * MS)
    network.send(relay, "coordinator", b"z")
    network.run(100 * MS)
    assert network.messages[-1] == ("coordinator", "relay", "k", b"z")


def test_packets_of_an_earlier_process_are_dropped_and_counted():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"x")
    network.run(100 * MS)
    old_datagrams = [out for source, out in network.sent if source == COORDINATOR]
    coordinator = network.join("coordinator", COORDINATOR, generation=2)
    network.send(coordinator, "relay", b"y")
    network.run(100 * MS)
    for out in old_datagrams:
        network.schedule(1 * MS, COORDINATOR, out)
    network.run(1 * SECOND)
    assert network.bodies("relay") == [b"x", b"y"]
    assert relay.faults["old_packets", "coordinator"] == len(old_datagrams)


def test_a_lower_generation_is_accepted_once_the_greater_one_is_idle():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"x")
    network.run(100 * MS)
    coordinator = network.join("coordinator", COORDINATOR, generation=1)
    relay.step(network.now, DatagramReceived(packet(generation=9)))
    network.send(coordinator, "relay", b"y")
    network.run(1 * SECOND)
    assert b"y" not in network.bodies("relay")
    network.run(Limits().peer_idle_timeout + Limits().idle_check_interval)
    network.send(coordinator, "relay", b"z")
    network.run(3 * SECOND)
    assert network.bodies("relay")[-1] == b"z"


def test_damaged_foreign_and_misdirected_datagrams_are_dropped_and_counted():
    network, relay, coordinator = pair()
    network.send(coordinator, "relay", b"x")
    network.run(100 * MS)
    damaged = bytearray(packet())
    damaged[-1] ^= 1
    assert coordinator.step(network.now, DatagramReceivedFrom(bytes(damaged), RELAY)) == []
    assert coordinator.faults["damaged", "relay"] == 1
    assert relay.step(network.now, DatagramReceived(bytes(damaged))) == [] and relay.faults["damaged", ""] == 1
    assert relay.step(network.now, DatagramReceived(packet(cluster="d"))) == []
    assert relay.faults["other_cluster", "coordinator"] == 1
    assert relay.step(network.now, DatagramReceived(packet(to="other"))) == []
    assert relay.faults["not_for_me", "coordinator"] == 1
    relay.step(network.now, DatagramReceived(packet(frames=[f.Ping(1)])))
    assert relay.faults["unexpected_frames", "coordinator"] == 1


def test_strangers_without_a_claim_are_dropped_under_one_counter():
    network, relay, _ = pair()
    for number in range(40):
        assert relay.step(network.now, DatagramReceived(packet(name=f"stranger-{number}", claim=False))) == []
    assert relay.faults == {("strangers", ""): 40}


def test_a_name_is_rejected_from_the_address_of_another():
    directory = {"relay": RELAY, "voter": OTHER}
    network = Network()
    process = network.join("me", COORDINATOR, directory=directory)
    forged = packet(name="relay", to="me", address=OTHER)
    assert process.step(network.now, DatagramReceived(forged)) == []
    assert process.step(network.now, DatagramReceived(packet(name="newcomer", to="me", address=OTHER))) == []
    assert process.step(network.now, DatagramReceived(packet(name="relay", to="me", address=COORDINATOR))) == []
    assert process.counts["address_clashes"] == 3
    assert not process.knows_generation("relay") and not process.knows_generation("newcomer")
    genuine = packet(name="relay", to="me", address=RELAY)
    assert process.step(network.now, DatagramReceivedFrom(genuine, OTHER)) == []
    assert process.faults["address_clashes", "relay"] == 3
    process.step(network.now, DatagramReceivedFrom(genuine, RELAY))
    assert process.knows_generation("relay")


def test_a_second_process_with_the_local_name_is_counted():
    network, relay, _ = pair()
    assert relay.step(network.now, DatagramReceived(packet(name="relay", generation=5))) == []
    assert relay.faults == {("address_clashes", "relay"): 1}


def test_learned_peers_are_bounded_and_idle_ones_forgotten():
    network = Network()
    relay = network.join("relay", RELAY, limits=Limits(max_learned_peers=3))
    for number in range(5):
        relay.step(network.now, DatagramReceived(packet(name=f"n{number}")))
    assert relay.counts["peers_over"] == 2 and relay.knows_generation("n2") and not relay.knows_generation("n3")
    network.run(Limits().peer_idle_timeout + Limits().idle_check_interval)
    assert not relay.knows_generation("n2")
    relay.step(network.now, DatagramReceived(packet(name="n4")))
    assert relay.knows_generation("n4")


def test_newcomers_and_each_sender_are_rate_limited():
    network = Network()
    limits = Limits(newcomer_packets_per_second=10, packets_per_second=10, packet_burst=5)
    relay = network.join("relay", RELAY, limits=limits)
    for number in range(30):
        relay.step(network.now, DatagramReceived(packet(name=f"n{number}")))
    assert relay.counts["newcomers_over"] == 20
    for _ in range(8):
        relay.step(network.now, DatagramReceived(packet(name="n1")))
    assert relay.faults["over_rate", "n1"] == 3


def test_messages_to_oneself_and_oversized_messages():
    network, relay, _ = pair()
    assert relay.step(network.now, SendMessage("relay", "k", b"x")) == [MessageReceived("relay", "k", b"x")]
    with pytest.raises(ValueError):
        relay.step(network.now, SendMessage("coordinator", "k", bytes(MAX_MESSAGE_BYTES + 1)))
    with pytest.raises(ValueError):
        relay.step(network.now, SendMessage("coordinator", "", b""))
    assert relay.step(network.now, SendMessage("nobody", "k", b"")) == []
    assert relay.counts["mail_to_nobody"] == 1


def test_a_page_with_a_claim_of_the_longest_names_is_sent():
    long = "n" * 63
    network = Network()
    network.join(long, RELAY, generation=1 << 50, directory={})
    process = network.join("m" * 63, COORDINATOR, generation=1 << 50, directory={long: RELAY})
    network.send(process, long, bytes(10_000), kind="k" * 32)
    network.run(1 * SECOND)
    assert network.bodies(long) == [bytes(10_000)]
    assert all(len(out.data) < 1_400 for _, out in network.sent)


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.integers(0, 1 << 30),
    st.floats(0, 0.4),
    st.floats(0, 0.5),
    st.lists(
        st.tuples(st.sampled_from(["send", "reply", "restart-relay", "restart-coordinator"]), st.integers(0, 900))
    ),
)
def test_messages_arrive_whole_and_at_most_once_over_a_faulty_network(seed, loss, duplication, actions):
    network, relay, coordinator = pair(seed=seed, loss=loss, duplication=duplication, max_delay=80 * MS)
    generations, sent = {RELAY: 1, COORDINATOR: 1}, set()
    for number, (action, wait) in enumerate(actions):
        body = b"%d:" % number + bytes(wait * 4)
        relay, coordinator = network.processes[RELAY], network.processes[COORDINATOR]
        if action == "send":
            network.send(coordinator, "relay", body)
            sent.add(("relay", "coordinator", "k", body))
        elif action == "reply":
            network.send(relay, "coordinator", body)
            sent.add(("coordinator", "relay", "k", body))
        else:
            address = RELAY if action == "restart-relay" else COORDINATOR
            generations[address] += 1
            network.join(network.processes[address].name, address, generation=generations[address])
        network.run(wait * MS)
    network.run(10 * SECOND)
    assert len(set(network.messages)) == len(network.messages) and set(network.messages) <= sent
    network.loss = 0
    for _ in range(12):
        network.send(network.processes[COORDINATOR], "relay", b"at last")
        network.run(1 * SECOND)
    assert network.messages[-1][3] == b"at last"


class FakePort:
    """Replaces the socket: keeps the datagrams sent."""

    def __init__(self, reactor, bind, take, count):
        self.take, self.out, self.opened = take, [], 0
        self.bytes_in = self.bytes_out = self.packets_in = self.packets_out = 0

    def open(self):
        self.opened += 1

    def close(self):
        return None

    def send(self, to, data):
        self.out.append(SendDatagram(to, data))


class ReactorClock:
    def __init__(self, reactor):
        self.reactor = reactor

    def now(self):
        return START + int(self.reactor.seconds() * 1_000_000)


def start_transport(reactor, name, address, directory):
    link = MessageTransport(
        reactor, address, "c", name, 1, address, directory, clock=ReactorClock(reactor), port=FakePort
    )
    link.start()
    link.start()
    return link


def exchange(reactor, links, steps=10):
    for _ in range(steps):
        for address, link in links.items():
            outs, link.port.out = link.port.out, []
            for out in outs:
                if out.to in links:
                    links[out.to].port.take(out.data, address)
        reactor.advance(0.05)


def test_the_transport_delivers_by_kind_and_counts_unhandled_messages():
    reactor = task.Clock()
    relay, coordinator = (
        start_transport(reactor, "relay", RELAY, {}),
        start_transport(reactor, "coordinator", COORDINATOR, DIRECTORY),
    )
    links, taken = {RELAY: relay, COORDINATOR: coordinator}, []
    relay.subscribe("k", lambda sender, body: taken.append((sender, body)))
    relay.subscribe("bad", lambda sender, body: 1 / 0)
    coordinator.subscribe("k", lambda sender, body: taken.append((sender, body)))
    for kind in ("k", "bad", "none"):
        coordinator.send("relay", kind, b"x")
    coordinator.send("coordinator", "k", b"own")
    assert taken == []
    exchange(reactor, links)
    assert sorted(taken) == [("coordinator", b"own"), ("coordinator", b"x")]
    figures = relay.metrics()
    assert (figures["mail_faults"], figures["mail_mail_untaken"], relay.port.opened) == (1, 1, 1)
    relay.stop()
    coordinator.stop()
    coordinator.stop()
    assert not reactor.getDelayedCalls()
