package routes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/admission"
	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// newTestControl returns a control loop without peers and network.
func newTestControl(l *Log, d Documents) *control {
	tables := newSharedTables("10.0.0.1:1", routing.RetryRule{Window: time.Second}, 1)
	noPeer := func(context.Context, membership.Address, documentsRequest) (documentsResponse, error) {
		return documentsResponse{}, errors.New("no response")
	}
	return &control{
		syncs:        syncState{fetch: noPeer},
		sharedTables: tables, permits: newPermits(admission.NewDaemon(membership.Member{Address: "10.0.0.1:1"}), tables.placer(), nil),
		log: l, daemons: 1, catalog: newCatalog(d, l),
		roster:     membership.NewRoster(membership.Member{Address: "10.0.0.1:1"}, nil),
		heartbeats: heartbeatState{rng: rand.New(rand.NewPCG(1, 1))},
		configured: make(chan struct{}), ended: make(chan struct{}),
		reach: routing.NewReach(), carriers: routing.NewCarriers(), dropCarrier: func(routing.Carrier) {},
		suspectRestart: func(routing.Incarnation, time.Time) {},
		openSince:      func(routing.Incarnation) (time.Time, bool) { return time.Time{}, false },
	}
}

// TestPauseInterruptsWatch simulates a process that was paused for some seconds. The reader's
// wait from before the pause must be interrupted, and the pause logged.
func TestPauseInterruptsWatch(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	c := newTestControl(l, nil)
	begun := time.Unix(1_000_000, 0)
	c.tick(context.Background(), begun)
	plan := c.readPlan.Load()
	c.tick(context.Background(), begun.Add(heartbeatInterval))
	if c.readPlan.Load() != plan {
		t.Fatal("the plan changed for no reason")
	}
	c.tick(context.Background(), begun.Add(5*time.Second))
	select {
	case <-plan.ended:
	default:
		t.Fatal("the wait continues after a pause")
	}
	l.Close()
	if !strings.Contains(out.String(), "process was paused") {
		t.Fatalf("the pause is not logged: %s", out.String())
	}
}

// TestWaitingCallerEndsInitialListening checks that a daemon that has just started waits for
// peers and does not read the store until a caller needs a configuration.
func TestWaitingCallerEndsInitialListening(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	defer l.Close()
	c := newTestControl(l, nil)
	c.roster = membership.NewRoster(membership.Member{Address: "10.0.0.1:1"}, []membership.Address{"10.0.0.2:1"})
	begun := time.Unix(1_000_000, 0)
	c.roster.StartListening(begun)
	c.planReads(begun)
	listening := c.readPlan.Load()
	if listening.Reads {
		t.Fatal("reads the store although a seed may answer")
	}
	c.handle(context.Background(), callerWaiting{}, begun)
	select {
	case <-listening.ended:
	default:
		t.Fatal("the plan is not replaced when a caller waits")
	}
	if !c.readPlan.Load().Reads {
		t.Fatal("the store is not read although a caller waits")
	}
}

// TestDaemonWithoutDocumentsContactsReceivedMembers simulates a daemon without documents that receives
// members from a seed. It must contact a few of them immediately, but not with every
// message.
func TestDaemonWithoutDocumentsContactsReceivedMembers(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	defer l.Close()
	c := newTestControl(l, fakeDocuments{})
	sent := make(map[membership.Address]int)
	c.heartbeats.send = func(to membership.Address, _ []byte) { sent[to]++ }
	now := time.Unix(1_000_000, 0)
	receive := func(from, members int) {
		h := gossip.Heartbeat{Sender: testMember(from), Partial: true}
		for i := range members {
			h.Members = append(h.Members, testMember(100*from+i))
		}
		c.receiveHeartbeat(context.Background(), &h, now)
	}
	c.planReads(now)
	receive(1, 20)
	if want := 1 + initialContacts; len(sent) > want || len(sent) < initialContacts {
		t.Fatalf("contacted %d of 21 members, want %d and the sender", len(sent), initialContacts)
	}
	before := len(sent)
	receive(2, 20)
	if len(sent) > before+1 {
		t.Fatalf("contacted %d more within a heartbeat interval", len(sent)-before)
	}
	c.apply(c.catalog.feed.ApplyList([]feed.Item{{Key: "config", Revision: 5}}, 5), "store", now)
	clear(sent)
	now = now.Add(time.Second)
	receive(3, 20)
	if len(sent) > 1 {
		t.Fatalf("contacted %d although it holds documents", len(sent))
	}
}

// TestFirstDocumentsComeFromOwnDomain simulates a daemon without documents that hears from a
// seed in another failure domain first. It must wait for firstSyncDelay and then ask the
// peer in its own domain.
func TestFirstDocumentsComeFromOwnDomain(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	defer l.Close()
	c := newTestControl(l, fakeDocuments{})
	c.domain, c.events = "a", make(chan event, eventQueue)
	c.syncs.newer = make(map[membership.Address]newerPeer)
	asked := make(chan membership.Address, 2)
	c.syncs.fetch = func(_ context.Context, from membership.Address, _ documentsRequest) (documentsResponse, error) {
		asked <- from
		return documentsResponse{}, nil
	}
	now := time.Unix(1_000_000, 0)
	c.planReads(now)
	far, near := testMember(1), testMember(2)
	far.Domain = "b"
	c.observePosition(context.Background(), &gossip.Heartbeat{Sender: far, Revision: 5}, now)
	c.observePosition(context.Background(), &gossip.Heartbeat{Sender: near, Revision: 5}, now.Add(firstSyncDelay/2))
	if c.syncs.inFlight {
		t.Fatal("asks the first peer without waiting")
	}
	c.handle(context.Background(), syncDue{}, now.Add(firstSyncDelay))
	if from := <-asked; from != near.Address {
		t.Fatalf("asks %s, want %s, which is in its own domain", from, near.Address)
	}
}

// TestSilenceReportsAreForwardedAndLogged checks that reports of an silent replica
// from three daemons are logged with the replica's id and forwarded once.
func TestSilenceReportsAreForwardedAndLogged(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	c := newTestControl(l, fakeDocuments{})
	sent := 0
	c.heartbeats.send = func(_ membership.Address, payload []byte) {
		if gossip.IsSilences(payload) {
			sent++
		}
	}
	now := time.Unix(1_000_000, 0)
	c.planReads(now)
	c.apply(c.catalog.feed.ApplyList([]feed.Item{{Key: "replica-1", Revision: 1}}, 1), "store", now)
	c.receiveHeartbeat(context.Background(), &gossip.Heartbeat{Sender: testMember(1), Partial: true}, now)
	key := c.view.Load().Pool("s").Ready[0].LoadKey()
	for i := range 3 {
		c.handle(context.Background(), silencesReceived{reports: []routing.SilenceReport{{Replica: key, Reporter: routing.ReporterID(i)}}}, now)
	}
	c.sendSilences(now)
	c.sendSilences(now)
	l.Close()
	if sent != 1 {
		t.Errorf("reports were sent %d times, want once", sent)
	}
	if !strings.Contains(out.String(), `"replica":"replica-1","message":"replica: several daemons find it silent`) {
		t.Errorf("the replica is not logged: %s", out.String())
	}
}

// TestReportsOfOthersAreSignsOfARestart guards against streams of two versions through a daemon to which no connection of a
// replica broke, while others were refused by it, and which has only the entry of the replica's former start.
func TestReportsOfOthersAreSignsOfARestart(t *testing.T) {
	l := newLog(&bytes.Buffer{}, "info", "d", newMetrics())
	defer l.Close()
	c := newTestControl(l, fakeDocuments{})
	now := time.Unix(1_000_000, 0)
	c.planReads(now)
	c.apply(c.catalog.feed.ApplyList([]feed.Item{{Key: "replica-1", Revision: 1}}, 1), "store", now)
	r := &c.view.Load().Pool("s").Ready[0]
	var signs []time.Duration // ago
	c.suspectRestart = func(i routing.Incarnation, at time.Time) {
		if i != r.Incarnation() {
			t.Errorf("%v is suspected", i)
		}
		signs = append(signs, now.Sub(at))
	}
	const age = 50 * time.Millisecond
	for _, e := range []event{
		silencesReceived{reports: []routing.SilenceReport{{Replica: r.LoadKey(), Age: age}, {Replica: r.LoadKey() + 1, Age: age}}},
		crashesReceived{reports: []routing.CrashReport{{Content: 5, Replica: r.LoadKey(), Age: age}, {Content: 5, Replica: r.LoadKey(), Clears: true}}},
	} {
		signs = nil
		c.handle(context.Background(), e, now)
		if len(signs) != 1 || signs[0] != age {
			t.Errorf("%T: signs of %v ago, want one of %v", e, signs, age)
		}
	}
}

// TestOverloadReportsAreForwarded checks that the control loop forwards a report of an
// overloaded replica to peers once.
func TestOverloadReportsAreForwarded(t *testing.T) {
	l := newLog(&bytes.Buffer{}, "info", "d", newMetrics())
	defer l.Close()
	c := newTestControl(l, fakeDocuments{})
	c.events = make(chan event, eventQueue)
	sent := make(chan []byte, eventQueue)
	c.heartbeats.send = func(_ membership.Address, payload []byte) {
		if gossip.IsOverloads(payload) {
			sent <- payload
		}
	}
	c.receiveHeartbeat(context.Background(), &gossip.Heartbeat{Sender: testMember(1), Partial: true}, time.Now())
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx)
	}()
	report := routing.OverloadReport{Replica: 1, Prompt: 2, Homes: 4}
	c.post(ctx, overloadsReceived{reports: []routing.OverloadReport{report}})
	var payload []byte
	select {
	case payload = <-sent:
	case <-time.After(10 * time.Second):
		t.Fatal("no report was sent")
	}
	got, err := gossip.DecodeOverloads(payload)
	if err != nil || len(got) != 1 || got[0].Homes != report.Homes {
		t.Errorf("sent %+v, %v", got, err)
	}
	c.post(ctx, overloadsReceived{reports: []routing.OverloadReport{report}})
	c.post(ctx, overloadsDue{})
	end()
	<-ended
	if len(sent) > 0 {
		t.Errorf("the report was sent %d more times", len(sent))
	}
}

// TestDecodeDatagram decodes valid and invalid datagrams.
func TestDecodeDatagram(t *testing.T) {
	h := gossip.Heartbeat{Sender: testMember(1), Revision: 7}
	heartbeat, err := gossip.EncodeHeartbeat(&h)
	if err != nil {
		t.Fatal(err)
	}
	silences, err := gossip.EncodeSilences([]routing.SilenceReport{{Replica: 5, Reporter: 6}})
	if err != nil {
		t.Fatal(err)
	}
	if e, err := decodeDatagram(heartbeat); err != nil || e.(heartbeatReceived).heartbeat.Revision != 7 {
		t.Errorf("heartbeat became %+v, %v", e, err)
	}
	if e, err := decodeDatagram(silences); err != nil || len(e.(silencesReceived).reports) != 1 {
		t.Errorf("reports became %+v, %v", e, err)
	}
	crowds, err := gossip.EncodeOverloads([]routing.OverloadReport{{Replica: 5, Prompt: 6, Homes: 7}})
	if err != nil {
		t.Fatal(err)
	}
	if e, err := decodeDatagram(crowds); err != nil || len(e.(overloadsReceived).reports) != 1 {
		t.Errorf("reports became %+v, %v", e, err)
	}
	for _, payload := range [][]byte{nil, crowds[:len(crowds)-1], {0x82, 9, 0x80}, []byte("hello"), silences[:len(silences)-1], heartbeat[:len(heartbeat)-1]} {
		if e, err := decodeDatagram(payload); err == nil {
			t.Errorf("%x became %+v", payload, e)
		}
	}
}

func testMember(i int) membership.Member {
	return membership.Member{Address: membership.Address(fmt.Sprintf("10.0.%d.%d:1", i/100, 2+i%100)), Domain: "a", Incarnation: 1, Heartbeats: 1}
}

// fakeDocuments implements Documents with a fixed configuration and replicas whose keys are
// their ids. The value of a replica's document optionally sets one property: "cold",
// "unreadable", "service=NAME" or "born=NUMBER".
type fakeDocuments struct{}

func (fakeDocuments) Config(f *feed.Feed) (feed.Item, bool) { return f.Get("config") }

func (fakeDocuments) ParseConfig(it feed.Item) (*routing.Table, error) {
	services := []routing.Service{{Name: "s", ColdStart: testColdStart, ColdPerSecond: 5}}
	if len(it.Value) > 0 {
		services = append(services, routing.Service{Name: routing.ServiceName(it.Value)})
	}
	return routing.NewTable(&routing.Config{Version: 7, Services: services})
}

const testColdStart = 3 * time.Second

func (fakeDocuments) ParseReplica(it feed.Item) (routing.Replica, error) {
	r := routing.Replica{ID: routing.ReplicaID(it.Key), Service: "s", Domain: "z"}
	what, value, _ := strings.Cut(string(it.Value), "=")
	switch what {
	case "cold":
		r.ColdFor = testColdStart
	case "unreadable":
		return r, errors.New("can't be read")
	case "version":
		r.Version = routing.SoftwareVersion(value)
	case "service":
		r.Service = routing.ServiceName(value)
	case "born":
		n, _, _ := strings.Cut(value, "-")
		born, err := strconv.ParseInt(n, 10, 64)
		if err != nil {
			return r, err
		}
		r.StartTime = routing.StartTime(born)
	}
	return routing.NewReplica(r), nil
}

func (fakeDocuments) EvacuatedDomain(key string) (state.FailureDomain, bool) {
	domain, ok := strings.CutPrefix(key, "evacuate-")
	return state.FailureDomain(domain), ok
}

func (fakeDocuments) Version(feed.Item) feed.Version { return feed.Version{} }

func (fakeDocuments) IsRetained(key string) bool { return key == "config" }

func (fakeDocuments) ReplicaID(key string) (routing.ReplicaID, bool) {
	return routing.ReplicaID(key), strings.HasPrefix(key, "replica-")
}

// TestConfigurationIsLoggedWhenLargeFleetStarts applies thousands of documents at
// once. The important lines must not be among those dropped by the log.
func TestConfigurationIsLoggedWhenLargeFleetStarts(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	c := newTestControl(l, fakeDocuments{})
	items := []feed.Item{{Key: "config", Revision: 5000}}
	for i := range 4500 {
		items = append(items, feed.Item{Key: fmt.Sprintf("replica-%d", i), Revision: feed.Revision(i + 1)})
	}
	c.apply(c.catalog.feed.ApplyList(items, 5000), "store", time.Unix(1_000_000, 0))
	c.apply(c.catalog.feed.Apply([]feed.Item{{Key: "replica-1", Revision: 5001, Deleted: true}}), "store", time.Unix(1_000_001, 0))
	l.Close()
	if l.writer.droppedTotal() != 0 {
		t.Errorf("%d lines were dropped", l.writer.droppedTotal())
	}
	for _, want := range []string{"configuration is in force", `"documents":4501`, `"replica":"replica-1","state":"gone"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %s", want)
		}
	}
}

// TestSmallSizeChangesOfLargeFleetBuildNoView checks that small changes of a large fleet's size
// do not cause a new view.
func TestSmallSizeChangesOfLargeFleetBuildNoView(t *testing.T) {
	for _, c := range []struct {
		from, to int
		want     bool
	}{{8, 7, true}, {8, 8, false}, {12, 13, true}, {300, 290, false}, {300, 260, true}, {300, 340, true}, {13, 1, true}} {
		if got := (&control{daemons: c.from}).sizeChanged(c.to); got != c.want {
			t.Errorf("from %d to %d: changed %t, want %t", c.from, c.to, got, c.want)
		}
	}
}

// TestViewLargeFleet checks that views and heartbeats use the same limit
// for a large fleet.
func TestViewLargeFleet(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	defer l.Close()
	c := newTestControl(l, fakeDocuments{})
	for daemons, large := range map[int]bool{1: false, membership.FullMeshSize: false, membership.FullMeshSize + 1: true, 300: true} {
		c.daemons = daemons
		c.publish(time.Unix(1_000_000, 0))
		if got := c.view.Load().LargeFleet; got != large {
			t.Errorf("%d daemons: large %t, want %t", daemons, got, large)
		}
	}
}

// TestLogIsBoundedAndNeverBlocks logs far more than the buffer holds while the underlying
// writer blocks.
func TestLogIsBoundedAndNeverBlocks(t *testing.T) {
	release := make(chan struct{})
	l := newLog(blockedWriter{release}, "info", "d", newMetrics())
	done := make(chan struct{})
	go func() {
		for range 20_000 {
			l.Replica("i", "ready", 1)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks")
	}
	if l.writer.droppedTotal() == 0 {
		t.Fatal("no lines were dropped, so the buffer is unbounded")
	}
	close(release)
	l.Close()
}

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestEvacuatedReplicasLeaveTheView begins and ends the evacuation of a failure domain. A
// document that arrives late must not override a newer one.
func TestEvacuatedReplicasLeaveTheView(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	c := newTestControl(l, fakeDocuments{})
	now := time.Unix(1_000_000, 0)
	c.planReads(now)
	apply := func(items ...feed.Item) {
		c.apply(c.catalog.feed.Apply(items), sourceStore, now)
	}
	pool := func() *routing.Pool { return c.view.Load().Pool("s") }
	apply(feed.Item{Key: "config", Revision: 1}, feed.Item{Key: "replica-1", Revision: 2}, feed.Item{Key: "replica-2", Revision: 3})
	apply(feed.Item{Key: "evacuate-z", Revision: 5})
	if len(pool().Ready) != 0 || len(pool().Evacuated) != 2 {
		t.Fatalf("ready %d, evacuated %d, want none and 2", len(pool().Ready), len(pool().Evacuated))
	}
	apply(feed.Item{Key: "evacuate-z", Revision: 4, Deleted: true})
	if len(pool().Ready) != 0 {
		t.Fatal("an old document ended the evacuation")
	}
	if a := c.statusAnswer(now); len(a.Evacuated) != 1 || a.Evacuated[0] != "z" {
		t.Errorf("operators see %v as evacuated", a.Evacuated)
	}
	if a := c.replicaAnswers(now); len(a) != 2 || a[0].Why != whyEvacuated {
		t.Errorf("operators see %+v", a)
	}
	apply(feed.Item{Key: "evacuate-z", Revision: 6, Deleted: true})
	if len(pool().Ready) != 2 || !pool().Ready[0].IsCold(now.Add(testColdStart-1)) || pool().Ready[0].IsCold(now.Add(testColdStart)) {
		t.Fatalf("after the evacuation %+v, want two replicas that are cold for %v", pool().Ready, testColdStart)
	}
	if a := c.statusAnswer(now); len(a.Evacuated) != 0 || a.Cold != 2 {
		t.Errorf("operators see %v as evacuated and %d cold replicas", a.Evacuated, a.Cold)
	}
	l.Close()
	for _, want := range []string{`"evacuated":true`, `"evacuated":false`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %s", want)
		}
	}
}

// TestColdReplicaLosesItsCache checks that a known replica which becomes cold is reported as
// having lost its cache, and a replica that is cold from its first entry is not.
func TestColdReplicaLosesItsCache(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	defer l.Close()
	c := newTestControl(l, fakeDocuments{})
	now := time.Unix(1_000_000, 0)
	for i, step := range []struct {
		item feed.Item
		lost int
	}{
		{feed.Item{Key: "replica-1", Value: []byte("cold"), Revision: 1}, 0},
		{feed.Item{Key: "replica-1", Value: []byte("cold"), Revision: 2}, 0},
		{feed.Item{Key: "replica-1", Revision: 3}, 0},
		{feed.Item{Key: "replica-1", Value: []byte("cold"), Revision: 4}, 1},
	} {
		lost := c.catalog.apply(c.catalog.feed.Apply([]feed.Item{step.item}), sourceStore, false, now)
		if len(lost) != step.lost {
			t.Errorf("step %d: %d replicas lost their cache, want %d", i, len(lost), step.lost)
		}
	}
}
