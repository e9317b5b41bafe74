package routing_test

import (
	"fmt"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// splitRoute returns a table with a route of two services of some weights.
func splitRoute(t *testing.T, a, b int, meddle func(*routing.Route)) *routing.Table {
	t.Helper()
	r := routing.Route{Name: "r", Host: "H", Prefix: "/", Kind: routing.Stream, Resumable: true, Timeout: 20 * time.Second, Shares: []routing.Share{{Service: "a", Weight: a}, {Service: "b", Weight: b}}}
	if meddle != nil {
		meddle(&r)
	}
	table, err := routing.NewTable(&routing.Config{Routes: []routing.Route{r}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestFormerSplitIsRememberedWhileStreamsLast guards against a configuration that changes something else, and makes a daemon forget by
// which weights streams began; against weights that are remembered for good; and against those of routes that have no streams
// to resume.
func TestFormerSplitIsRememberedWhileStreamsLast(t *testing.T) {
	now := time.Unix(1000, 0)
	// moved returns how many of 100 draws selected another service before.
	moved := func(table *routing.Table, at time.Time) (n int) {
		r, ok := table.Match("h", "/x")
		if !ok {
			t.Fatal("no route")
		}
		for draw := range uint64(100) {
			if r.FormerService(draw, at) != "" {
				n++
			}
		}
		return n
	}
	first := splitRoute(t, 1, 1, nil).WithFormerSplits(nil, now)
	if n := moved(first, now); n != 0 {
		t.Errorf("%d draws have a former service in the first configuration", n)
	}
	changed := splitRoute(t, 3, 1, nil).WithFormerSplits(first, now)
	same := splitRoute(t, 3, 1, nil).WithFormerSplits(changed, now.Add(15*time.Second))
	for _, table := range []*routing.Table{changed, same} {
		if n := moved(table, now.Add(19*time.Second)); n == 0 {
			t.Error("no draw has a former service 19 s after the change, with streams that last for 20 s")
		}
		if n := moved(table, now.Add(20*time.Second)); n != 0 {
			t.Errorf("%d draws have a former service 20 s after the change", n)
		}
	}
	for name, meddle := range map[string]func(*routing.Route){
		"other host":    func(r *routing.Route) { r.Host = "other" },
		"other prefix":  func(r *routing.Route) { r.Prefix = "/x/" },
		"not resumable": func(r *routing.Route) { r.Resumable = false },
		"no stream":     func(r *routing.Route) { r.Kind = routing.Idempotent },
	} {
		before := splitRoute(t, 1, 1, nil)
		if name == "other host" || name == "other prefix" {
			before = splitRoute(t, 1, 1, meddle)
			meddle = nil
		}
		if n := moved(splitRoute(t, 3, 1, meddle).WithFormerSplits(before, now), now); n != 0 {
			t.Errorf("%s: %d draws have a former service", name, n)
		}
	}
}

// TestWeightsThatChangeInSteps guards against streams that began before the first of several changes of weights, as in a release by
// steps, and that go on at the service which the weights in between select.
func TestWeightsThatChangeInSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	tables := []*routing.Table{splitRoute(t, 9, 1, nil)}
	for i, weights := range [][2]int{{5, 5}, {1, 9}, {9, 1}} {
		tables = append(tables, splitRoute(t, weights[0], weights[1], nil).WithFormerSplits(tables[i], now.Add(time.Duration(i)*5*time.Second)))
	}
	at := func(i int) *routing.Route {
		r, _ := tables[i].Match("h", "/x")
		return r
	}
	former := func(i int, draw uint64, after time.Duration) routing.ServiceName {
		return at(i).FormerService(draw, now.Add(after))
	}
	for draw := range uint64(100) {
		first, second, third := at(0).Service(draw), at(1).Service(draw), at(2).Service(draw)
		if got := former(2, draw, 6*time.Second); first != third && got != first {
			t.Errorf("the former service of draw %d is %q after two changes, want %q", draw, got, first)
		}
		// Streams of before the first change have ended. Those without a record began in between, where it moved nothing.
		if got := former(2, draw, 21*time.Second); first == second && got != first {
			t.Errorf("the former service of draw %d is %q once the streams of before the first change have ended, want %q", draw, got, first)
		}
		if got := former(2, draw, 26*time.Second); got != "" {
			t.Errorf("the former service of draw %d is %q once the streams of before both changes have ended, want none", draw, got)
		}
		// The last weights are the first ones again. Streams that began in between are recorded.
		if got := former(3, draw, 11*time.Second); got != first {
			t.Errorf("the former service of draw %d is %q after the weights returned to the first ones, which selected %q", draw, got, first)
		}
	}
}

// TestDrawsAreThoseOfTheLastBuild guards against a draw that differs from that of the last build: while a fleet is upgraded, daemons of
// both would send the requests of a prompt, and the resumes of a stream, to different services.
func TestDrawsAreThoseOfTheLastBuild(t *testing.T) {
	r, _ := splitRoute(t, 3, 2, nil).Match("h", "/")
	got := ""
	for draw := range uint64(24) {
		got += fmt.Sprint(r.Service(draw))
	}
	if want := "abaaaaababaaaabbaababaaa"; got != want {
		t.Errorf("draws %s, want %s", got, want)
	}
}

// TestStreamsKeepTheirServiceAsTheSplitChangesAgain guards against streams that go on at another service after their route's split has
// changed twice while they last: a share that rises in steps, and a change that is taken back.
func TestStreamsKeepTheirServiceAsTheSplitChangesAgain(t *testing.T) {
	for name, weights := range map[string][][2]int{
		"in steps":                      {{9, 1}, {3, 1}, {1, 1}},
		"taken back":                    {{9, 1}, {1, 1}, {9, 1}},
		"taken back, and made again":    {{9, 1}, {1, 1}, {9, 1}, {1, 1}},
		"away from a service, and back": {{1, 1}, {0, 1}, {1, 1}},
	} {
		now := time.Unix(1000, 0)
		var routes []*routing.Route
		var table *routing.Table
		for _, w := range weights {
			table = splitRoute(t, w[0], w[1], nil).WithFormerSplits(table, now)
			r, _ := table.Match("h", "/")
			routes = append(routes, r)
			now = now.Add(2 * time.Second)
		}
		last := routes[len(routes)-1]
		for i, begun := range routes {
			at, moved, unasked := time.Unix(1000, 0).Add(time.Duration(2*i+1)*time.Second), 0, 0
			for draw := range uint64(100) {
				if begun.FormerService(draw, at) != "" { // it is recorded
					if last.FormerService(draw, now) == "" && last.Service(draw) != begun.Service(draw) {
						unasked++
					}
					continue
				}
				to := last.FormerService(draw, now)
				if to == "" {
					to = last.Service(draw)
				}
				if to != begun.Service(draw) {
					moved++
				}
			}
			if moved > 0 || unasked > 0 {
				t.Errorf("%s: of 100 streams that began by the split %v go on at another service: %d that are not recorded, %d that are and are not asked for",
					name, weights[i], moved, unasked)
			}
		}
	}
}
