package soak

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
)

// TestDaemonsWithoutLinksToReplicasServeTheirCallers guards against daemons that refuse their callers
// because their own links to all replicas are lost, although other daemons reach the replicas.
func TestDaemonsWithoutLinksToReplicasServeTheirCallers(t *testing.T) {
	const daemons, lasts = 8, 5500 * time.Millisecond
	plan := &Plan{
		Daemons: daemons, Domains: 3, Gate: 4, Chat: 8, Callers: 4 * daemons, Trouble: time.Second, Quiet: 5 * time.Second,
		Partitions: []Partition{
			{At: time.Second, For: lasts, Mode: resetAll, Daemons: []int{0, 1}},
			{At: 8 * time.Second, For: lasts, Mode: silentAll, Daemons: []int{2, 3, 4}},
			{At: 15 * time.Second, For: lasts, Mode: resetNew, Daemons: []int{1, 4, 7}}, // a failure domain
			{At: 22 * time.Second, For: lasts, Mode: resetAll, Daemons: []int{0, 1, 2, 3, 6}},
			{At: 23 * time.Second, For: lasts, Mode: silentAll, Daemons: []int{4}},
		},
	}
	report, err := Play(context.Background(), plan, Options{Daemon: buildOwnDaemon(t), Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%.3f of %d requests were served, %.3f at the end", report.Share, report.Requests, report.QuietShare)
	for _, v := range report.Violations {
		t.Errorf("%s %s: %s", v.Promise, v.Subject, v.Detail)
	}
}

// TestCheckPartitions records a partition of daemon 0 from second 100 to 110, and requests from second
// 103 on.
func TestCheckPartitions(t *testing.T) {
	for _, c := range []struct {
		name            string
		inside, served  int // requests at daemon 0, and how many of them succeed
		others, succeed int // at daemon 1
		play            func(l *Ledger)
		broken          bool
	}{
		{"served like the others", 100, 95, 100, 95, nil, false},
		{"served two thirds as often", 100, 67, 100, 100, nil, false},
		{"served less than two thirds as often", 100, 60, 100, 100, nil, true},
		{"the others are served no better", 100, 60, 100, 60, nil, false},
		{"twelve of a hundred fail, and few others are served", 100, 88, 100, 100, nil, false},
		{"twelve of sixteen fail", 16, 4, 100, 100, nil, true},
		{"eleven of eleven fail", 11, 0, 100, 100, nil, true},
		{"ten of ten fail", 10, 0, 100, 100, nil, false},
		{"twenty of thirty fail, where half of the others' do", 30, 10, 100, 50, nil, false},
		{"there are no others", 100, 0, 0, 0, nil, false},
		{"the others are in another partition", 100, 0, 100, 100, func(l *Ledger) {
			l.PartitionBegan([]int{1}, at(99))
			l.PartitionEnded([]int{1}, at(99), at(120))
		}, false},
		{"the others send at other times", 0, 0, 100, 100, func(l *Ledger) {
			for i := range 50 {
				id := fmt.Sprint("late-", i)
				l.Sent(Request{ID: id, Route: routes[1], Daemon: 0, Key: "k", Sent: at(109.5), Deadline: at(111)})
				l.Answered(id, Answer{At: at(109.6), Status: 503})
			}
		}, false},
		{"the daemon was frozen meanwhile", 100, 0, 100, 100, func(l *Ledger) { l.DisturbDaemon(0, at(102), at(108)) }, false},
	} {
		l := newPartitionLedger()
		if c.play != nil {
			c.play(l.Ledger)
		}
		l.sendInPartition(0, c.inside, c.served, "")
		l.sendInPartition(1, c.others, c.succeed, "")
		if broken := l.breaksRecover(); broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}

// partitionLedger is the ledger of a partition of daemon 0 from second 100 to 110. Replica "r" of the requests' service is
// usable all the time.
type partitionLedger struct{ *Ledger }

func newPartitionLedger() partitionLedger {
	l := partitionLedger{newLedger(defaultBounds())}
	l.KeyAdded("k", "w", time.Time{})
	l.RouteTo("safe", "gate", time.Time{})
	l.Joined("r", "gate", at(50))
	l.SetDomain("r", "z")
	l.PartitionBegan([]int{0}, at(100))
	l.PartitionEnded([]int{0}, at(100), at(110))
	return l
}

// sendInPartition records requests from second 103 to 109, of which the first ones succeed and the others are refused for a
// reason.
func (l partitionLedger) sendInPartition(daemon, n, served int, reason coordination.Reason) {
	for i := range n {
		sent := 103 + 6*float64(i)/float64(n)
		id := fmt.Sprint(daemon, "-", reason, "-", i)
		l.Sent(Request{ID: id, Route: routes[1], Daemon: daemon, Key: "k", Sent: at(sent), Deadline: at(sent + 2)})
		a := Answer{At: at(sent + .01), Status: 503, Reason: string(reason)}
		if i < served {
			a.Status, a.Complete, a.Reason = 200, true, ""
		}
		l.Answered(id, a)
	}
}

func (l partitionLedger) breaksRecover() bool {
	return slices.ContainsFunc(l.Check(at(150)), func(v Violation) bool { return v.Promise == "RECOVER" })
}

// TestCheckPartitionsWithoutUsableReplicas guards against a comparison of what replicas allow each daemon: of cold replicas
// each daemon has a quota of its own, which may be none, and a replica asks single daemons to back off. Daemon 0 is
// partitioned; of 120 requests of the others 60 are served.
func TestCheckPartitionsWithoutUsableReplicas(t *testing.T) {
	const cold, evacuated, backingOff = coordination.ReasonCold, coordination.ReasonEvacuated, coordination.ReasonBackingOff
	turnCold := func(l *Ledger) { l.TurnedCold("r", coldSpan{span: span{at(99), at(111)}}) }
	evacuate := func(l *Ledger) { l.Evacuated("z", at(99)) }
	askToBackOff := func(l *Ledger) { l.SetAside("r", at(99), at(111)) }
	for _, c := range []struct {
		name            string
		play            func(l *Ledger)
		inside, outside coordination.Reason // of refusals
		broken          bool
	}{
		{"all replicas are cold", turnCold, cold, cold, false},
		{"all replicas are evacuated", evacuate, evacuated, evacuated, false},
		{"all replicas requested a backoff", askToBackOff, backingOff, backingOff, false},
		{"the route moves between services whose replicas are cold", func(l *Ledger) {
			turnCold(l)
			l.RouteTo("safe", "gate-2", at(106))
		}, cold, cold, false},
		{"a replica is warm, in service and ready", func(*Ledger) {}, cold, cold, true},
		{"the route moves to a service with a usable replica", func(l *Ledger) {
			turnCold(l)
			l.Joined("r2", "gate-2", at(50))
			l.RouteTo("safe", "gate-2", at(106))
		}, cold, cold, true},
		{"all replicas are cold, and the partitioned daemon reaches none", turnCold, coordination.ReasonConnect, cold, true},
		{"all replicas are cold, and the partitioned daemon finds none", turnCold, coordination.ReasonNoUpstream, cold, true},
	} {
		l := newPartitionLedger()
		c.play(l.Ledger)
		l.sendInPartition(0, 60, 0, c.inside)
		l.sendInPartition(1, 120, 60, c.outside)
		if broken := l.breaksRecover(); broken != c.broken {
			t.Errorf("%s: broken %t, want %t", c.name, broken, c.broken)
		}
	}
}
