package soak

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// TestFiguresOfALoad sums up a ledger with known latencies and placements.
func TestFiguresOfALoad(t *testing.T) {
	l := NewLedger(DefaultBounds())
	// Subject 1 runs at a, a, b; subject 2 at b. One of two repeats finds its
	// prompt; a and b hold two each.
	for i, run := range []struct {
		subject int
		replica string
		ms      int
	}{{1, "a", 10}, {1, "a", 20}, {1, "b", 30}, {2, "b", 40}} {
		q := Request{ID: itoa(i), Route: routes[2], Sent: at(100 + float64(i)), Subject: run.subject}
		l.Sent(q)
		l.Began(q.ID, Run{Arrival: Arrival{Replica: run.replica, Service: serviceChat, At: q.Sent}})
		first := q.Sent.Add(time.Duration(run.ms) * time.Millisecond)
		l.Answered(q.ID, Answer{At: first.Add(time.Second), First: first, Status: 200, Whole: i != 3})
	}
	got := l.figures(LoadShape{})
	if len(got.Routes) != 1 || got.Routes[0].Requests != 4 || got.Routes[0].Served != 3 {
		t.Fatalf("routes: %+v", got.Routes)
	}
	if first := got.Routes[0].First; first.P50 < 19.9 || first.P50 > 20.1 || first.Max < 29.9 || first.Max > 30.1 {
		t.Errorf("first parts: %+v", first)
	}
	if got.Reuse != 0.5 {
		t.Errorf("reuse %v, want one of two repeats", got.Reuse)
	}
	if got.ChatSkew != 1 {
		t.Errorf("skew %v, want 1", got.ChatSkew)
	}
	if len(got.Seconds) != 4 || got.Seconds[3].Served != 0 || got.Seconds[3].Requests != 1 {
		t.Errorf("seconds: %+v", got.Seconds)
	}
}

func TestCompareDrawsBothRuns(t *testing.T) {
	run := func(served int) *LoadReport {
		return &LoadReport{
			Routes:  []RouteFigures{{Route: "once", Requests: 100, Served: served}},
			Seconds: []SecondFigures{{Second: 0, Served: served}, {Second: 1, Served: served / 2}},
		}
	}
	var page bytes.Buffer
	if err := Compare(&page, Named{"before.json", run(10)}, Named{"<after>", run(20)}); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if n := strings.Count(text, "<polyline"); n != 6 {
		t.Errorf("%d lines are drawn, want 6", n)
	}
	for _, want := range []string{"before.json", "&lt;after&gt;", `points="0.0,80.0 640.0,120.0"`, "<td>20</td>"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %s", want)
		}
	}
}
