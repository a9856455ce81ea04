//! Two events that cross, one pair a test, on real sockets; `docs/crossings.md` has the whole table.

mod peers;

use peers::*;

/// Two nodes, of shards 0 and 1, a discovery with a watch open, and a gateway that knows them.
struct Stage {
    a: Node,
    b: Node,
    discovery: Discovery,
    watch: Conn,
    gateway: Gateway,
}

fn stage(name: &str) -> Stage {
    stage_with(name, |config| config)
}

fn stage_with(name: &str, change: impl Fn(String) -> String) -> Stage {
    let (a, b, discovery) = (Node::new("a", 0), Node::new("b", 1), Discovery::new());
    let mut gateway = Gateway::start(name, &[&a, &b], &discovery, change);
    let watch = discovery.watched(2, &[a.entry("in_service"), b.entry("in_service")]);
    gateway.says("discovery: told of 2 nodes");
    Stage { a, b, discovery, watch, gateway }
}

impl Stage {
    /// A client whose read is out at the first node, and the node's end of it. A node that nothing is known
    /// of yet gets one request at a time: the next one waits for its answer.
    fn asked(&self, id: &str) -> (Conn, Conn) {
        let mut client = self.gateway.client();
        client.say(read(id));
        let mut node = self.a.accept();
        assert!(node.value().contains(id));
        (client, node)
    }

    /// Discovery says that the second node drains; seen.
    fn drain_b(&mut self) {
        self.watch.say(chunk(&update(3, false, &[self.b.entry("terminating")])));
        self.gateway.has_seen();
    }

    /// While the first node is busy with a read, a new object would go to the second; where that one drains,
    /// it waits for the first. Ends the read and the write.
    fn new_object_avoids_b(&mut self, mut client: Conn, mut node: Conn) {
        let mut writer = self.gateway.asked(write("w1"));
        self.gateway.has_seen();
        node.say(served("read"));
        assert_eq!(client.value(), "read");
        assert!(node.value().contains("w1"), "the new object goes to the node that serves");
        node.say(served("written"));
        assert_eq!(writer.value(), "written");
        assert!(self.b.untouched(), "the node that drains gets nothing");
    }
}

/// The settings, with attempts that can't be cancelled.
fn no_cancel(config: String) -> String {
    config.replace("\"may_cancel\": true", "\"may_cancel\": false")
}

/// The settings, with connections that may take long to come up.
fn late_connections(config: String) -> String {
    config.replace("\"connect_timeout_ms\": 1000", "\"connect_timeout_ms\": 8000")
}

// ---- SIGTERM ----

#[test]
fn sigterm_and_accept_both_are_served() {
    let mut s = stage("term_accept");
    let (mut first, mut node) = s.asked("a1");
    s.gateway.retires();
    let mut second = s.gateway.asked(read("a2"));
    s.gateway.has_seen();
    node.say(served("one"));
    assert_eq!((first.value(), first.end()), ("one".into(), End::Closed));
    assert!(node.value().contains("a2"));
    node.say(served("two"));
    assert_eq!((second.value(), second.end()), ("two".into(), End::Closed));
    s.gateway.ends();
}

#[test]
fn sigterm_and_accept_in_the_turn_of_the_last_answer() {
    let mut s = stage("term_accept_last");
    let (mut first, mut node) = s.asked("a1");
    s.gateway.retires();
    s.gateway.hold();
    node.say(served("one"));
    let mut second = s.gateway.client();
    second.say(read("a2"));
    s.gateway.let_go();
    assert_eq!((first.value(), first.end()), ("one".into(), End::Closed));
    assert!(node.value().contains("a2"));
    node.say(served("two"));
    assert_eq!((second.value(), second.end()), ("two".into(), End::Closed));
    s.gateway.ends();
}

#[test]
fn sigterm_and_half_read_request() {
    let mut s = stage("term_half");
    let (mut first, mut node) = s.asked("a1");
    let mut second = s.gateway.client();
    let words = read("a2");
    let (begin, rest) = words.split_at(words.len() / 2);
    second.say(begin);
    s.gateway.has_seen();
    s.gateway.retires();
    second.say(rest);
    s.gateway.has_seen();
    node.say(served("one"));
    assert_eq!((first.value(), first.end()), ("one".into(), End::Closed));
    assert!(node.value().contains("a2"));
    node.say(served("two"));
    assert_eq!((second.value(), second.end()), ("two".into(), End::Closed));
    s.gateway.ends();
}

#[test]
fn sigterm_and_pipelined_requests() {
    let mut s = stage("term_pipelined");
    let mut client = s.gateway.client();
    client.say(read("a1") + &read("a2") + &read("a3"));
    let mut node = s.a.accept();
    assert!(node.value().contains("a1"));
    s.gateway.retires();
    node.say(served("one"));
    for (id, words) in [("a2", "two"), ("a3", "three")] {
        assert!(node.value().contains(id));
        node.say(served(words));
    }
    assert_eq!([client.value(), client.value(), client.value()], ["one", "two", "three"]);
    assert_eq!(client.end(), End::Closed);
    s.gateway.ends();
}

#[test]
fn sigterm_and_a_request_on_a_connection_that_was_shut() {
    let mut s = stage("term_rest");
    let (mut first, mut node) = s.asked("a1");
    let mut resting = s.gateway.client();
    resting.say(command("PING"));
    assert_eq!(resting.value(), "+PONG");
    s.gateway.shutdown_requested();
    assert_eq!(resting.end(), End::Closed);
    resting.say_late(read("a2"));
    let mut third = s.gateway.asked(read("a3"));
    s.gateway.has_seen();
    node.say(served("one"));
    assert_eq!(first.value(), "one");
    assert!(node.value().contains("a3"), "what was read after the shutdown is not sent on");
    node.say(served("three"));
    assert_eq!(third.value(), "three");
    s.gateway.ends();
    assert!(s.a.untouched());
}

/// Bytes that come with the last answer must not reset the connection: the answer might go with it.
#[test]
fn sigterm_and_bytes_in_the_moment_of_the_close() {
    let mut s = stage("term_bytes");
    let (mut client, mut node) = s.asked("a1");
    s.gateway.retires();
    s.gateway.hold();
    node.say(served("one"));
    client.say(command("PING"));
    s.gateway.let_go();
    assert_eq!([client.value(), client.value()], ["one", "+PONG"]);
    assert_eq!(client.end(), End::Closed);
    s.gateway.ends();
}

#[test]
fn sigterm_and_client_close() {
    let mut s = stage("term_close");
    let (client, mut node) = s.asked("a1");
    s.gateway.retires();
    client.close();
    assert_eq!(node.end(), End::Closed, "the attempt is given up");
    s.gateway.ends();
    assert!(s.a.untouched());
}

#[test]
fn sigterm_and_node_reset() {
    let mut s = stage("term_reset");
    let (mut client, node) = s.asked("a1");
    s.gateway.retires();
    node.reset();
    let mut node = s.a.accept();
    assert!(node.value().contains("a1"), "a read goes again");
    node.say(served("one"));
    assert_eq!((client.value(), client.end()), ("one".into(), End::Closed));
    s.gateway.ends();
}

/// A further attempt tells its node no more time than is left to the client.
#[test]
fn sigterm_and_node_reset_tell_the_time_that_is_left() {
    let told = |words: &str| -> u128 {
        let (_, rest) = words.split_once(",d=").expect("a time");
        rest.split(',').next().and_then(|d| d.parse().ok()).expect("milliseconds")
    };
    let mut s = stage("term_left");
    let mut client = s.gateway.client();
    client.say(read_within("a1", 2_500));
    let asked = std::time::Instant::now();
    let mut node = s.a.accept();
    assert!((1_500..=2_500).contains(&told(&node.value())));
    s.gateway.retires();
    let passed = asked.elapsed().as_millis();
    node.reset();
    let mut node = s.a.accept();
    assert!(told(&node.value()) + passed <= 2_500);
    node.say(served("one"));
    assert_eq!(client.value(), "one");
    s.gateway.ends();
}

#[test]
fn sigterm_and_drain() {
    let mut s = stage("term_drain");
    let (client, node) = s.asked("a1");
    s.gateway.retires();
    s.drain_b();
    s.new_object_avoids_b(client, node);
    s.gateway.ends();
}

#[test]
fn sigterm_and_watch_end() {
    let mut s = stage("term_watch");
    let (client, node) = s.asked("a1");
    s.gateway.retires();
    s.watch.reset();
    s.watch = s.discovery.watched(3, &[s.a.entry("in_service"), s.b.entry("terminating")]);
    s.gateway.says("discovery: told of 2 nodes");
    s.new_object_avoids_b(client, node);
    s.gateway.ends();
}

#[test]
fn sigterm_and_sighup_at_once() {
    let mut s = stage("term_hup");
    let (mut client, mut node) = s.asked("a1");
    let moved = Discovery::new();
    s.gateway.write_moved(&moved);
    s.gateway.hold();
    s.gateway.will_end();
    s.gateway.will_reload();
    s.gateway.let_go();
    let _watch = moved.watched(1, &[s.a.entry("in_service")]);
    node.say(served("one"));
    assert_eq!((client.value(), client.end()), ("one".into(), End::Closed));
    s.gateway.ends();
}

// ---- SIGHUP ----

#[test]
fn sighup_and_half_read_request() {
    let mut s = stage("hup_half");
    let mut client = s.gateway.client();
    let words = read("a1");
    let (begin, rest) = words.split_at(words.len() / 2);
    client.say(begin);
    s.gateway.has_seen();
    let moved = Discovery::new();
    s.gateway.moved_to(&moved);
    let _watch = moved.watched(1, &[s.a.entry("in_service"), s.b.entry("in_service")]);
    client.say(rest);
    let mut node = s.a.accept();
    assert!(node.value().contains("a1"));
    node.say(served("one"));
    assert_eq!(client.value(), "one");
    assert_eq!(s.watch.end(), End::Closed);
}

#[test]
fn sighup_and_late_answer() {
    let mut s = stage("hup_answer");
    let (mut client, mut node) = s.asked("a1");
    let moved = Discovery::new();
    s.gateway.write_moved(&moved);
    s.gateway.hold();
    s.gateway.will_reload();
    node.say(served("one"));
    s.gateway.let_go();
    assert_eq!(client.value(), "one");
    let (_watch, head) = moved.call();
    assert!(head.contains("from=0"), "another discovery may count anew: {head}");
}

#[test]
fn sighup_and_drain() {
    let mut s = stage("hup_drain");
    let (client, node) = s.asked("a1");
    let moved = Discovery::new();
    s.gateway.moved_to(&moved);
    s.watch = moved.watched(1, &[s.a.entry("in_service"), s.b.entry("terminating")]);
    s.gateway.has_seen();
    s.new_object_avoids_b(client, node);
}

/// What the old discovery still says on a watch that was given up is not taken in.
#[test]
fn sighup_and_half_a_list_from_the_old_discovery() {
    let mut s = stage("hup_half_list");
    let (mut client, mut node) = s.asked("a1");
    let words = chunk(&update(3, false, &[s.b.entry("terminating")]));
    let (begin, rest) = words.split_at(words.len() / 2);
    s.watch.say(begin);
    s.gateway.has_seen();
    let moved = Discovery::new();
    s.gateway.moved_to(&moved);
    let _watch = moved.watched(1, &[s.a.entry("in_service"), s.b.entry("in_service")]);
    s.gateway.says("discovery: told of 2 nodes");
    s.watch.say_late(rest);
    let mut writer = s.gateway.asked(write("w1"));
    let mut other = s.b.accept();
    assert!(other.value().contains("w1"), "the second node serves on");
    other.say(served("written"));
    assert_eq!(writer.value(), "written");
    node.say(served("one"));
    assert_eq!(client.value(), "one");
}

#[test]
fn sighup_and_watch_end_while_the_new_discovery_is_down() {
    let mut s = stage("hup_down");
    let (client, node) = s.asked("a1");
    let mut moved = Discovery::new();
    moved.go_down();
    s.gateway.moved_to(&moved);
    s.gateway.says("refused");
    assert_eq!(s.watch.end(), End::Closed);
    moved.come_back();
    s.watch = moved.watched(1, &[s.a.entry("in_service"), s.b.entry("terminating")]);
    s.gateway.says("discovery: told of 2 nodes");
    s.new_object_avoids_b(client, node);
}

// ---- clients that come and go ----

/// A connection, its request and its close all lie before the gateway at once.
#[test]
fn accept_and_client_close() {
    let s = stage("accept_close");
    let (mut first, mut node) = s.asked("a1");
    s.gateway.hold();
    for words in [read("a2"), read("a3")[..40].to_owned()] {
        let mut gone = s.gateway.client();
        gone.say(words);
        gone.close();
    }
    let mut last = s.gateway.client();
    last.say(read("a4"));
    s.gateway.let_go();
    s.gateway.has_seen();
    node.say(served("one"));
    assert_eq!(first.value(), "one");
    assert!(node.value().contains("a4"), "who has gone is not served");
    node.say(served("four"));
    assert_eq!(last.value(), "four");
}

/// The close stands behind more than the gateway reads while answers are out: it must be heard of all the same.
#[test]
fn client_close_behind_more_than_is_read() {
    let s = stage("close_behind");
    let (mut first, mut node) = s.asked("a1");
    let mut gone = s.gateway.client();
    let many: String = (0..700).map(|n| read(&format!("g{n}"))).collect();
    gone.say(many);
    s.gateway.has_seen();
    gone.close();
    s.gateway.has_seen();
    let mut last = s.gateway.client();
    last.say(read("a2"));
    s.gateway.has_seen();
    node.say(served("one"));
    assert_eq!(first.value(), "one");
    assert!(node.value().contains("a2"), "who has gone is not served");
    node.say(served("two"));
    assert_eq!(last.value(), "two");
}

#[test]
fn client_close_and_node_reset() {
    let s = stage_with("close_reset", no_cancel);
    let (client, node) = s.asked("a1");
    client.close();
    s.gateway.has_seen();
    node.reset();
    let mut last = s.gateway.client();
    last.say(read("a2"));
    let mut node = s.a.accept();
    assert!(node.value().contains("a2"), "there is no further attempt for who has gone");
    node.say(served("two"));
    assert_eq!(last.value(), "two");
    assert!(s.a.untouched());
}

#[test]
fn client_close_and_late_answer() {
    let s = stage_with("close_answer", no_cancel);
    let (client, mut node) = s.asked("a1");
    client.close();
    let mut last = s.gateway.client();
    last.say(read("a2"));
    s.gateway.has_seen();
    node.say(served("one"));
    assert!(node.value().contains("a2"));
    node.say(served("two"));
    assert_eq!(last.value(), "two", "an answer is its own request's");
}

/// The client leaves while its attempt waits for a connection: what comes up late carries nothing of it.
#[test]
fn client_close_and_a_connection_that_comes_up_late() {
    for (name, change) in [
        ("close_late", late_connections as fn(String) -> String),
        ("close_late_kept", |c| late_connections(no_cancel(c))),
    ] {
        let s = stage_with(name, change);
        let queued = s.a.fill_queue();
        let mut client = s.gateway.client();
        client.say(read("a1"));
        s.gateway.has_seen();
        client.close();
        s.gateway.has_seen();
        let mut last = s.gateway.client();
        last.say(read("a2"));
        s.gateway.has_seen();
        s.a.empty_queue(queued);
        let mut node = s.a.accept();
        assert!(node.value().contains("a2"), "{name}: nothing begins for who has gone");
        node.say(served("two"));
        assert_eq!(last.value(), "two");
    }
}

#[test]
fn idle_close_and_a_request() {
    let s = stage("idle_close");
    let (mut first, mut node) = s.asked("a1");
    let mut resting = s.gateway.client();
    resting.say(command("PING"));
    assert_eq!(resting.value(), "+PONG");
    node.say(served("one"));
    assert_eq!(first.value(), "one");
    assert_eq!(resting.end(), End::Closed);
    resting.say_late(read("a2"));
    let mut last = s.gateway.client();
    last.say(read("a3"));
    assert!(node.value().contains("a3"), "what was read after the close is not sent on");
    node.say(served("three"));
    assert_eq!(last.value(), "three");
}

/// A request comes in the very turn in which its connection is closed to make room for another.
#[test]
fn idle_close_for_room_and_a_request() {
    let s = stage_with("idle_room", |c| c.replace("\"sockets\":256", "\"sockets\":64"));
    let mut oldest = s.gateway.client();
    oldest.say(command("PING"));
    assert_eq!(oldest.value(), "+PONG");
    // Of 64 descriptors 24 may be clients'.
    let others: Vec<Conn> = (0..23)
        .map(|_| {
            let mut other = s.gateway.client();
            other.say(command("PING"));
            assert_eq!(other.value(), "+PONG");
            other
        })
        .collect();
    s.gateway.hold();
    let mut new = s.gateway.client();
    oldest.say(read("a1"));
    new.say(command("PING"));
    s.gateway.let_go();
    let mut node = s.a.accept();
    assert!(node.value().contains("a1"));
    node.say(served("one"));
    assert_eq!(oldest.value(), "one");
    assert_eq!(new.value(), "+PONG");
    drop(others);
}

/// Clients that ask once and keep their connection make room before they hold all that clients may hold for
/// requests, a third of the descriptors: of more than a fourth the first that rests is closed, for that reason
/// and in the turn of its answer, while the others have none yet.
#[test]
fn idle_close_of_clients_that_ask_once() {
    let change = |c: String| {
        c.replace("\"sockets\":256", "\"sockets\":64").replace("\"seed\"", "\"log\":\"debug\",\"seed\"")
    };
    let mut s = stage_with("asked_once", change);
    let mut clients: Vec<Conn> = (0..17)
        .map(|n| {
            let mut client = s.gateway.client();
            client.say(read(&format!("a{n}")));
            s.gateway.has_seen();
            client
        })
        .collect();
    let mut node = s.a.accept();
    assert!(node.value().contains(" a0 "));
    node.say(served("v0"));
    assert_eq!(clients[0].value(), "v0");
    s.gateway.says("closing a client connection that rests");
    assert_eq!(clients[0].end(), End::Closed);
    // As many as may be are kept.
    assert!(node.value().contains(" a1 "));
    node.say(served("v1"));
    clients[1].say(command("PING"));
    assert_eq!([clients[1].value(), clients[1].value()], ["v1", "+PONG"]);
}

/// Idle clients hold all that clients may hold while discovery is down; its return is heard of all the same.
#[test]
fn idle_clients_and_the_return_of_discovery() {
    let (a, b, mut discovery) = (Node::new("a", 0), Node::new("b", 1), Discovery::new());
    discovery.go_down();
    let mut gateway = Gateway::start("idle_return", &[&a, &b], &discovery, |c| {
        c.replace("\"sockets\":256", "\"sockets\":64")
    });
    gateway.says("refused");
    let idle: Vec<Conn> = (0..80).map(|_| gateway.client()).collect();
    gateway.has_seen();
    discovery.come_back();
    let watch = discovery.watched(2, &[a.entry("in_service"), b.entry("terminating")]);
    gateway.says("discovery: told of 2 nodes");
    let mut s = Stage { a, b, discovery, watch, gateway };
    let (client, node) = s.asked("a1");
    s.new_object_avoids_b(client, node);
    drop(idle);
}

// ---- nodes ----

/// A whole answer and a reset lie before the gateway at once; the answer came first.
#[test]
fn node_reset_and_late_answer() {
    let s = stage("reset_answer");
    let (mut client, mut node) = s.asked("a1");
    // Reads are of 16 KiB: after the second, only the reset is left.
    let value = "v".repeat((32 << 10) - served("").len() - 4);
    assert_eq!(served(&value).len(), 32 << 10);
    s.gateway.hold();
    node.say(served(&value));
    node.reset();
    s.gateway.let_go();
    assert_eq!(client.value(), value);
    assert!(s.a.untouched(), "it is not asked again");
}

#[test]
fn node_reset_and_drain() {
    let mut s = stage("reset_drain");
    let (mut client, node) = s.asked("a1");
    let successor = Node::new("c", 0);
    s.watch.say(chunk(&update(3, false, &[s.a.entry("terminating"), successor.entry("in_service")])));
    s.gateway.has_seen();
    node.reset();
    let mut node = successor.accept();
    assert!(node.value().contains("a1"), "the further attempt goes to the successor");
    node.say(served("one"));
    assert_eq!(client.value(), "one");
    assert!(s.a.untouched());
}

#[test]
fn half_read_request_and_drain() {
    let mut s = stage("half_drain");
    let (mut client, mut node) = s.asked("a1");
    let mut writer = s.gateway.client();
    let words = write("w1");
    let (begin, rest) = words.split_at(words.len() / 2);
    writer.say(begin);
    s.gateway.has_seen();
    s.drain_b();
    writer.say(rest);
    s.gateway.has_seen();
    node.say(served("one"));
    assert_eq!(client.value(), "one");
    assert!(node.value().contains("w1"), "what is whole after the drain goes to the node that serves");
    node.say(served("written"));
    assert_eq!(writer.value(), "written");
    assert!(s.b.untouched());
}

/// A client leaves while its request waits for the successor of a node that drains.
#[test]
fn client_close_and_drain() {
    let mut s = stage("close_drain");
    let (mut client, mut node) = s.asked("a1");
    let waiting = s.gateway.asked(read("a2"));
    s.gateway.has_seen();
    s.watch.say(chunk(&update(3, false, &[s.a.entry("terminating")])));
    s.gateway.has_seen();
    waiting.close();
    s.gateway.has_seen();
    let successor = Node::new("c", 0);
    s.watch.say(chunk(&update(4, false, &[successor.entry("in_service")])));
    s.gateway.has_seen();
    let mut last = s.gateway.asked(read("a3"));
    let mut next = successor.accept();
    assert!(next.value().contains("a3"), "who has gone is not served");
    next.say(served("three"));
    assert_eq!(last.value(), "three");
    node.say(served("one"));
    assert_eq!(client.value(), "one");
}

#[test]
fn late_answer_and_drain() {
    let mut s = stage("answer_drain");
    let (mut client, mut node) = s.asked("a1");
    s.gateway.hold();
    s.watch.say(chunk(&update(3, false, &[s.a.entry("terminated")])));
    node.say(served("one"));
    s.gateway.let_go();
    assert_eq!(client.value(), "one");
    assert_eq!(node.end(), End::Closed, "nothing more goes to a node that is gone");
}

#[test]
fn late_answer_and_the_end_of_its_time() {
    let s = stage("answer_late");
    let mut client = s.gateway.client();
    client.say(read_within("a1", 400));
    let mut node = s.a.accept();
    assert!(node.value().contains("a1"));
    assert!(client.value().starts_with("-BUSY "));
    assert_eq!(node.end(), End::Closed);
    node.say_late(served("one"));
    // Another piece of data: what asks for the same is taken for a repeat of the first, which is late.
    client.say(read("a2").replace("7f3a9c21e0b4d655", "7f3a9c21e0b4d657"));
    let mut node = s.a.accept();
    assert!(node.value().contains("a2"));
    node.say(served("two"));
    assert_eq!(client.value(), "two");
}

/// The connection comes up when the time is over in which a node that drains may still be sent to.
#[test]
fn drain_and_a_connection_that_comes_up_late() {
    let mut s = stage_with("drain_late", |c| {
        late_connections(c).replace("\"stop_sending_within_ms\": 500", "\"stop_sending_within_ms\": 100")
    });
    let queued = s.a.fill_queue();
    let mut client = s.gateway.client();
    client.say(read("a1"));
    s.gateway.has_seen();
    s.watch.say(chunk(&update(3, false, &[s.a.entry("terminating")])));
    s.gateway.has_seen();
    s.a.empty_queue(queued);
    let mut node = s.a.accept();
    assert!(client.value().starts_with("-BUSY"));
    s.watch.say(chunk(&update(4, false, &[s.a.entry("terminated")])));
    assert_eq!(node.end(), End::Closed, "nothing was written");
}

// ---- the watch ----

/// The drain and the watch's reset lie before the gateway at once; the drain came first.
#[test]
fn watch_end_and_drain() {
    let mut s = stage("watch_drain");
    let (client, node) = s.asked("a1");
    let mut words = update(3, false, &[s.b.entry("terminating")]);
    // Reads are of 16 KiB: after the first, only the reset is left.
    let size = (16 << 10) - "3ff6\r\n\r\n".len();
    words += &" ".repeat(size - words.len());
    assert_eq!(chunk(&words).len(), 16 << 10);
    s.gateway.hold();
    s.watch.say(chunk(&words));
    s.watch.reset();
    s.gateway.let_go();
    let (watch, head) = s.discovery.call();
    assert!(head.contains("from=3"), "{head}");
    s.watch = watch;
    s.new_object_avoids_b(client, node);
}

/// A watch that ends within an object has told nothing of it: the next call asks from the last whole one on.
#[test]
fn watch_end_within_an_object() {
    let mut s = stage("watch_half");
    let words = update(3, false, &[s.b.entry("terminating")]);
    s.watch.say(format!("{:x}\r\n{}", words.len(), &words[..words.len() / 2]));
    s.gateway.has_seen();
    s.watch.close();
    let (mut watch, head) = s.discovery.call();
    assert!(head.contains("from=2"), "{head}");
    // The next answer begins with no memory of the half.
    watch.say(CHUNKED.to_owned() + &chunk(&words));
    s.gateway.says("discovery: told of 1 nodes");
    s.watch = watch;
    let (client, node) = s.asked("a1");
    s.new_object_avoids_b(client, node);
}

#[test]
fn watch_end_and_a_list_in_pieces_with_no_length() {
    let mut s = stage("watch_pieces");
    s.watch.reset();
    let (mut watch, _) = s.discovery.call();
    let list = update(3, true, &[s.a.entry("in_service"), s.b.entry("terminating")]);
    let words = format!("HTTP/1.1 200 OK\r\n\r\n{}", list.replace(',', ",\n  "));
    for piece in words.as_bytes().chunks(50) {
        watch.say(piece);
        s.gateway.has_seen();
    }
    s.gateway.says("discovery: told of 2 nodes");
    s.watch = watch;
    let (client, node) = s.asked("a1");
    s.new_object_avoids_b(client, node);
}

/// Where lists are pushed, their agent is asked for them all the same, from the first moment and at its return.
#[test]
fn watch_end_where_lists_are_pushed() {
    let mut s = stage_with("watch_pushed", |c| c.replace("subscribe", "automatic"));
    s.watch.reset();
    s.watch = s.discovery.watched(3, &[s.a.entry("in_service"), s.b.entry("terminating")]);
    s.gateway.says("discovery: told of 2 nodes");
    let (client, node) = s.asked("a1");
    s.new_object_avoids_b(client, node);
}
