package soak

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// TestCheckBrittle records a spell of four replicas from second 100 on, which bites from 104 to 112, and what
// becomes of the calls in it.
func TestCheckBrittle(t *testing.T) {
	for _, c := range []struct {
		name      string
		falls     int
		disturbed bool // the daemon that sent what was rejected
		served    int  // of 100 calls
		load      float64
		play      func(l *Ledger)
		broken    string // promise
	}{
		{"two falls", 2, false, 100, 1, nil, ""},
		{"three falls", 3, false, 100, 1, nil, "LIMIT"},
		{"three falls under requests of a daemon that was disturbed", 3, true, 100, 1, nil, ""},
		{"half of the calls served", 0, false, 50, 1, nil, ""},
		{"less than half of the calls served", 0, false, 49, 1, nil, "RECOVER"},
		{"a quarter served, there is room for half", 0, false, 25, 2, nil, ""},
		{"less than a quarter served, there is room for half", 0, false, 24, 2, nil, "RECOVER"},
		{"a third served, a half of the replicas is at rest", 0, false, 33, 1, func(l *Ledger) {
			l.DisturbReplica("i-1", at(105), at(107))
			l.DisturbReplica("i-2", at(100), at(107))
		}, ""},
		{"a third served, a half of the replicas fell", 0, false, 33, 1, func(l *Ledger) {
			l.BrittleFrom("s", BrittleSpell{}, at(104), at(112))
			l.Fell("s", "i-1", at(106))
			l.Fell("s", "i-2", at(106))
			l.DisturbReplica("i-1", at(106), at(109))
			l.DisturbReplica("i-2", at(106), at(109))
		}, "RECOVER"},
		{"a quarter served, a domain with half of the replicas is evacuated", 0, false, 25, 1, func(l *Ledger) {
			l.Evacuated("z0", at(106))
		}, ""},
	} {
		l := newLedger(defaultBounds())
		// The slots have room for 100 / load calls in the seven seconds that are judged.
		l.setCrowdedPlan(&Crowded{Replicas: 4, Slots: 1, Work: time.Duration(c.load * 4 * 7 / 100 * float64(time.Second))})
		for i := range 4 {
			l.Joined("i-"+itoa(i+1), "s", at(1))
			l.SetDomain("i-"+itoa(i+1), "z"+itoa(i%2))
		}
		if c.play != nil {
			c.play(l)
		}
		spell := BrittleSpell{At: 0, For: 12 * time.Second, Limit: 1}
		l.BrittleFrom("s", spell, at(104), at(112))
		if c.disturbed {
			l.DisturbDaemon(1, at(100), at(112))
		}
		for i := range c.falls {
			now := at(106 + float64(i))
			id := "r" + itoa(i)
			l.Sent(Request{ID: id, Route: routes[1], Daemon: 1, Key: "k", Sent: now, Deadline: now.Add(time.Second)})
			l.RejectedWhileBrittle("s", "i-1", id, now)
			l.Fell("s", "i-1", now)
		}
		l.Fell("s", "i-1", at(113)) // after the spell
		for i := range 100 {
			l.CallEnded(l.CallBegan(at(105.5+float64(i)/20), 0), i < c.served)
		}
		broken := ""
		for _, v := range l.Check(at(150)) {
			if strings.HasPrefix(v.Subject, "brittle ") {
				broken += v.Promise
			}
		}
		if broken != c.broken {
			t.Errorf("%s: broken %q, want %q", c.name, broken, c.broken)
		}
	}
}

// TestBrittleReplica guards against a replica that falls before its queue is cut, under as many rejections as it
// survives, or under rejections of more than a second.
func TestBrittleReplica(t *testing.T) {
	r := newCrowdedReplica(1, crowdedWork)
	r.brittle = &brittleState{limit: 2, queue: 1, bitesAt: at(10), until: at(20)}
	if r.queueLimit(at(9)) != maxQueued || r.queueLimit(at(10)) != 1 || r.queueLimit(at(20)) != maxQueued {
		t.Error("want a shorter queue from the time at which the spell bites until its end")
	}
	var fell []float64
	for _, second := range []float64{9.7, 9.8, 9.9, 10, 10.1, 11.05, 11.06, 11.07, 20, 20.1, 20.2} {
		if r.fallsAfterRejection(at(second)) {
			fell = append(fell, second)
		}
	}
	if !slices.Equal(fell, []float64{11.06, 11.07}) {
		t.Errorf("fell at %v, want the third rejection within a second, and more", fell)
	}
}
