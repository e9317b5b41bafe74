package soak

import (
	"testing"
	"time"
)

// silentReplicasPlan returns a plan in which the only replica of a software version is silent for a second, again and
// again, while daemons are stopped one after the other.
func silentReplicasPlan() *Plan {
	const (
		daemons, gate, chat = 3, 3, 4
		canary              = 2*gate + chat // number of the place that the rollout adds
		rollout             = 500 * time.Millisecond
		trouble             = 20 * time.Second
	)
	p := &Plan{
		Daemons: daemons, Domains: 3, Gate: gate, Chat: chat, Callers: daemons, Trouble: trouble, Quiet: 5 * time.Second,
		Versions: &Versions{
			Count: 1, Replicas: chat, Resumers: 12 * daemons,
			Rollouts: []Rollout{{At: rollout, Version: 1, Replicas: 2*gate + 1, Gap: time.Millisecond}},
		},
	}
	for at := 2 * time.Second; at < trouble; at += 2 * time.Second {
		p.Faults = append(p.Faults, Fault{At: at, For: 1100 * time.Millisecond, Kind: silenceReplica, Target: canary})
	}
	for i := range 2 * daemons {
		p.Faults = append(p.Faults, Fault{At: 1500*time.Millisecond + time.Duration(3*i)*time.Second, Kind: stopDaemon, Target: i})
	}
	return p
}

// TestStreamsOutlastSilentReplicas guards against a daemon that breaks a stream off because its replica is silent for a
// moment, although no other replica can take it.
func TestStreamsOutlastSilentReplicas(t *testing.T) {
	t.Parallel()
	playStreams(t, silentReplicasPlan())
}

// TestCheckSilences records a request that ran at replica r, silent from second 101 to 102.
func TestCheckSilences(t *testing.T) {
	second := func(s float64) time.Time { return time.Unix(0, int64(s*1e9)) }
	for _, c := range []struct {
		name     string
		endsAt   float64
		complete bool
		alsoAt   string // another replica that ran it
		crashes  bool   // the replica crashes in the silence
		lost     bool
	}{
		{name: "broken off in the silence", endsAt: 101.6, lost: true},
		{name: "answered in the silence, for what came before", endsAt: 101.6, complete: true},
		{name: "broken off before the silence", endsAt: 100.9},
		{name: "broken off after the silence", endsAt: 102.1},
		{name: "broken off by another replica", endsAt: 101.6, alsoAt: "q"},
		{name: "broken off after the deadline", endsAt: 101.99},
		{name: "broken off by a crash in the silence", endsAt: 101.6, crashes: true},
	} {
		l := newLedger(defaultBounds())
		l.Ready(second(1))
		q := Request{ID: "l1", Route: routes[3], Target: "/reply/1", Sent: second(100), Deadline: second(101.95)}
		l.Sent(q)
		for _, replica := range []string{"r", c.alsoAt} {
			if replica != "" {
				l.Began("l1", Run{Arrival: Arrival{Replica: replica, At: second(100.1)}})
			}
		}
		l.FellSilent("r", second(101), second(102))
		if c.crashes {
			l.DisturbReplica("r", second(101.5), second(103))
		}
		l.Answered("l1", Answer{At: second(c.endsAt), Status: 200, Complete: c.complete})
		j := &checker{observations: l.snapshot(), now: second(110)}
		j.checkSilences()
		if got := len(j.out) > 0; got != c.lost {
			t.Errorf("%s: lost %t, want %t", c.name, got, c.lost)
		}
	}
}
