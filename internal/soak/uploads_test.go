package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestUploadsLeaveOtherFaultsOfASeed guards against kept seeds that mean something else since there are uploads.
func TestUploadsLeaveOtherFaultsOfASeed(t *testing.T) {
	for seed := range uint64(20) {
		shape := DefaultShape()
		shape.PartitionsPerSec = 0.1
		without := NewPlan(seed, shape)
		shape.Uploads = &Uploads{ResetsPerSec: 1, EndsPerSec: 0.3, CarrierKillsPerSec: 0.3}
		with := NewPlan(seed, shape)
		drawn := slices.DeleteFunc(slices.Clone(with.Faults), func(f Fault) bool {
			return f.Kind != resetUploads && f.Kind != endInOrder && f.Kind != killOfCarriers
		})
		others := slices.DeleteFunc(with.Faults, func(f Fault) bool { return slices.Contains(drawn, f) })
		if !reflect.DeepEqual(others, without.Faults) || !reflect.DeepEqual(with.Partitions[:len(without.Partitions)], without.Partitions) {
			t.Errorf("seed %d: the other faults differ with uploads", seed)
		}
		if want := 18 + 6 + 6; len(drawn) != want || len(with.Partitions)-len(without.Partitions) < 4 {
			t.Errorf("seed %d: %d faults of uploads, want %d; %d partitions more, want 4 at least", seed, len(drawn), want, len(with.Partitions)-len(without.Partitions))
		}
		without.Uploads = true
		with.Faults, with.Partitions, without.Partitions, without.Faults = nil, nil, nil, nil
		if !reflect.DeepEqual(with, without) {
			t.Errorf("seed %d: the fleet differs with uploads", seed)
		}
	}
}

// TestEndOfReplicaAmidBodies guards against a soak that expects an ordinary end where the system resets, and the other way
// round: it depends on whether the replica has read all that had arrived.
func TestEndOfReplicaAmidBodies(t *testing.T) {
	for _, c := range []struct {
		name  string
		body  int
		reset bool
	}{
		{"body unread", uploadBodies[0], true}, // it fits into the send buffer of the test, whose read gets the reset
		{"body read", 10, false},
	} {
		l, records := newLedger(defaultBounds()), &deliveries{}
		listener, err := listenTCP("127.0.0.1:0", true)
		if err != nil {
			t.Fatal(err)
		}
		r := serveReplica(listener, "i-1", serviceChat, "z0", chatSlots, l)
		r.unframed = true
		r.SetBehaviour(behaviour{})
		link, err := openLinkWith("127.0.0.1:0", r.Address(), true)
		if err != nil {
			t.Fatal(err)
		}
		link.deliveries = records
		conn, err := net.Dial("tcp4", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /upload/u1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: u1\r\nExpect-Replica: i-1\r\nContent-Length: %d\r\n\r\n%s", c.body, strings.Repeat("u", c.body))
		}()
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Fatal(c.name, err)
		}
		r.end()
		rest, err := io.ReadAll(conn)
		run := awaitEnd(l, "u1")
		record, _ := records.connection(run.Conn, time.Now())
		if isReset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE); isReset != c.reset || record.ended.IsZero() != c.reset {
			t.Errorf("%s: reading ended with %v after %d bytes, the link passed an ordinary end on: %t; want a reset: %t", c.name, err, len(rest), !record.ended.IsZero(), c.reset)
		}
		if run.Unread != true && c.reset || !run.Unframed {
			t.Errorf("%s: body unread %t, unframed %t", c.name, run.Unread, run.Unframed)
		}
		_ = conn.Close()
		link.Close()
	}
}

// TestUploadIsReadWhileEventsFlow guards against replicas that read a body before they respond, so that no daemon's write
// waits while it reads the response, and against runs whose bodies are not compared.
func TestUploadIsReadWhileEventsFlow(t *testing.T) {
	l := newLedger(defaultBounds())
	listener, err := listenTCP("127.0.0.1:0", true)
	if err != nil {
		t.Fatal(err)
	}
	r := serveReplica(listener, "i-1", serviceChat, "z0", chatSlots, l)
	defer r.Terminate()
	r.unframed = true
	r.SetBehaviour(behaviour{})
	conn, err := net.Dial("tcp4", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	body := strings.Repeat("u", uploadBodies[1])
	written := make(chan time.Time, 1)
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /upload/u1 HTTP/1.1\r\nHost: a\r\nAttempt-Id: u1\r\nExpect-Replica: i-1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		written <- time.Now()
	}()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	rest, err := io.ReadAll(conn)
	if err != nil || !strings.HasSuffix(string(rest), streamBody("u1", 0)) {
		t.Errorf("read %d bytes and %v, want the whole stream", len(rest), err)
	}
	if at := <-written; at.Sub(begun) < uploadHold/2 {
		t.Errorf("the body was written %v after the response had begun, want %v at least", at.Sub(begun), uploadHold/2)
	}
	if run := awaitEnd(l, "u1"); run.Unread || run.Body != body {
		t.Errorf("body unread %t, %d bytes recorded", run.Unread, len(run.Body))
	}
}

// TestCheckBorderEnds guards against counting a stream as ended with its replica where the daemon, a reset or a link cut it
// off. The replica terminates at second 100.15, and the link passes an ordinary end on at second 100.16.
func TestCheckBorderEnds(t *testing.T) {
	events := streamEvents("q")
	for _, c := range []struct {
		name    string
		play    func(run *Run, c *connRecord, a *Answer)
		ends    BorderEnds
		violate bool
	}{
		{name: "complete for its caller", ends: BorderEnds{Complete: 1}},
		{name: "broken off", play: func(_ *Run, _ *connRecord, a *Answer) { a.Complete, a.Err = false, io.ErrUnexpectedEOF }, ends: BorderEnds{BrokenOff: 1}},
		{name: "ends inside an event", play: func(_ *Run, _ *connRecord, a *Answer) { a.Body = a.Body[:len(a.Body)-2] }, violate: true},
		{name: "holds other events", play: func(_ *Run, _ *connRecord, a *Answer) { a.Body = events[1] }, violate: true},
		{name: "with chunks", play: func(run *Run, _ *connRecord, _ *Answer) { run.Unframed = false }, violate: true},
		{name: "the link passed no ordinary end on", play: func(_ *Run, c *connRecord, _ *Answer) { c.ended = time.Time{} }, violate: true},
		{name: "the link passed it on later", play: func(_ *Run, c *connRecord, _ *Answer) { c.ended = at(100.3) }, violate: true},
		{name: "the link was reset before", play: func(_ *Run, c *connRecord, _ *Answer) { c.reset = at(100.155) }, violate: true},
		{name: "at another replica", play: func(run *Run, _ *connRecord, _ *Answer) { run.Replica = "r2" }, violate: true},
		{name: "before the run", play: func(run *Run, _ *connRecord, _ *Answer) { run.At = at(100.155) }, violate: true},
	} {
		s := newScene(routes[2])
		s.send()
		record := connRecord{ended: at(100.16)}
		a := Answer{At: at(100.2), Status: 200, Seal: "r1", Body: events[0], Complete: true}
		run := s.run("r1", 100.1)
		run.Unframed = true
		s.EndedInOrder("r1", at(100.15))
		if c.play != nil {
			c.play(run, &record, &a)
		}
		s.connection = func(string, time.Time) (connRecord, bool) { return record, true }
		s.answer(a)
		found := s.Check(at(101))
		violated := slices.ContainsFunc(found, func(v Violation) bool { return v.Promise == "ORDER" || v.Promise == "MIXED" })
		if got := s.BorderEnds(); got != c.ends || violated != c.violate {
			t.Errorf("%s: %+v, violated %t; want %+v, %t: %v", c.name, got, violated, c.ends, c.violate, found)
		}
	}
}

// TestPeersOfKilledDaemonAreRefused guards against a soak in which the link before a killed daemon accepts connections in its
// place: a daemon that asks whether a carrier still runs then takes the end of the carrier for that of the replica.
func TestPeersOfKilledDaemonAreRefused(t *testing.T) {
	target, err := listenTCP("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	peers, err := openPeerLink("127.0.0.1:0", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peers.close()
	d := &daemon{peers: peers, fleet: &fleet{refuses: true}}
	accepts := func() bool {
		c, err := net.Dial("tcp4", peers.tcp.Address())
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}
	before := accepts()
	d.kill()
	d.kill()
	while := accepts()
	if err := errors.Join(d.acceptPeers(), d.acceptPeers()); err != nil {
		t.Fatal(err)
	}
	if after := accepts(); !before || while || !after {
		t.Errorf("accepts connections before a kill: %t, after it: %t, after the next start: %t", before, while, after)
	}
}
