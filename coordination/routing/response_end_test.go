package routing_test

import (
	"testing"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestResponseEnd guards against truncated responses that are taken for complete, and against sound ones that are not.
func TestResponseEnd(t *testing.T) {
	const accepted, refused = routing.NewConnAccepted, routing.NewConnRefused
	type end = routing.ResponseEnd
	for _, c := range []struct {
		name string
		end  routing.ResponseEnd
		want routing.EndBasis
	}{
		{"another connection is open", end{OtherOpen: true}, routing.EndByConnection},
		{"another daemon runs, and another connection is open", end{ThroughPeer: true, PeerRuns: true, OtherOpen: true}, routing.EndByPeer},
		{"the other daemon has terminated", end{ThroughPeer: true, OtherOpen: true, NewConn: accepted}, routing.EndUnknown},
		{"no other is open, a new one is accepted", end{NewConn: accepted}, routing.EndByConnection},
		{"no other is open, a new one is refused", end{NewConn: refused}, routing.EndUnknown},
		{"no other is open, nothing is known of a new one", end{}, routing.EndByConnection},
		{"the other daemon reports the end", end{ThroughPeer: true, EndConfirmed: true, OtherOpen: true}, routing.EndByPeerReport},
		{"the other daemon reports the end, and the replica refuses a new connection", end{ThroughPeer: true, EndConfirmed: true, NewConn: refused}, routing.EndUnknown},
		{"a stream lacks its first event, another connection is open", end{LacksEvent: true, OtherOpen: true}, routing.EndUnknown},
		{"a stream lacks its first event, through a daemon that reports the end", end{LacksEvent: true, ThroughPeer: true, EndConfirmed: true, OtherOpen: true}, routing.EndUnknown},
		{"a stream lacks its first event, and the replica is leaving", end{LacksEvent: true, Leaving: true}, routing.EndUnknown},
		{"the replica is leaving", end{Leaving: true}, routing.EndByConnection},
		{"the replica is leaving, a new connection is refused", end{Leaving: true, NewConn: refused}, routing.EndByConnection},
	} {
		c.end.Framing = routing.FramedByConnection
		if got := c.end.Basis(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// drawEnd draws the end of a response.
func drawEnd(t *rapid.T) routing.ResponseEnd {
	flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
	return routing.ResponseEnd{
		Framing:     routing.Framing(rapid.IntRange(0, 2).Draw(t, "framing")),
		ThroughPeer: flag("through peer"), PeerRuns: flag("peer runs"), EndConfirmed: flag("confirmed"),
		Leaving:    flag("leaving"),
		LacksEvent: flag("lacks event"),
		OtherOpen:  flag("other open"),
		NewConn:    routing.NewConn(rapid.IntRange(0, 2).Draw(t, "new")),
	}
}

// Guards against signs of a cut that make a response look complete, and inputs that are collected in vain.
func TestResponseEndProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEnd(t)
		isComplete := e.Basis() != routing.EndUnknown
		if e.Framing != routing.FramedByConnection {
			if !isComplete {
				t.Fatal("a framed response is not complete")
			}
			return
		}
		worse := e
		switch rapid.IntRange(0, 3).Draw(t, "sign of a cut") {
		case 3:
			worse.LacksEvent = true
		case 0:
			worse.NewConn = routing.NewConnRefused
		case 1:
			worse.ThroughPeer, worse.PeerRuns, worse.EndConfirmed = true, false, false
		case 2:
			worse.OtherOpen = false
		}
		if !isComplete && worse.Basis() != routing.EndUnknown {
			t.Fatalf("complete by a sign of a cut: %+v", worse)
		}
		if !e.DependsOnNewConn() {
			other := e
			other.NewConn = routing.NewConn(rapid.IntRange(0, 2).Draw(t, "other new"))
			if (other.Basis() != routing.EndUnknown) != isComplete {
				t.Fatal("depends on a new connection that is not tried")
			}
		}
		// While nothing is known of others, they are looked at before a connection is tried.
		asked := e
		asked.OtherOpen = false
		if !asked.DependsOnOthers() {
			other := asked
			other.OtherOpen = e.OtherOpen
			if other.Basis() != asked.Basis() {
				t.Fatal("depends on other connections that are not looked at")
			}
		}
	})
}
