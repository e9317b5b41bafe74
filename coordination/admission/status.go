// The state of a coordinator that operators see, and the counts of recent decisions for it.

package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// Status is the state of a coordinator.
type Status struct {
	Service routing.ServiceName
	Scope   Scope
	Places  int // that the coordinator may grant
	Out     int // occupied places, by permits and by requests in flight without one
	Waiting int
	Refused int // in the last 10 s
	// ByUrgency and ByWorkspace count asks by urgency, and by workspace for those with the most.
	ByUrgency   map[Urgency]Counts
	ByWorkspace map[WorkspaceKey]Counts
}

// add adds the numbers of another coordinator of the service.
func (s *Status) add(o Status) {
	s.Places += o.Places
	s.Out += o.Out
	s.Waiting += o.Waiting
	s.Refused += o.Refused
}

// Counts are the counts of one urgency or workspace. Granted and Refused count the last 10 s.
type Counts struct{ Granted, Waiting, Refused int }

// sum returns the number of asks.
func (c Counts) sum() int { return c.Granted + c.Waiting + c.Refused }

const (
	// tallySeconds is the number of seconds whose decisions are counted.
	tallySeconds = 10
	// maxStatusWorkspaces is the number of workspaces in a status.
	maxStatusWorkspaces = 10
)

// tally counts the decisions of the last tallySeconds by urgency and workspace.
type tally struct {
	begun   time.Time
	seconds [tallySeconds]tallySecond
}

// tallySecond counts the decisions of one second.
type tallySecond struct {
	number int64 // seconds since tally.begun
	counts map[tallyKey]Counts
}

type tallyKey struct {
	urgency   Urgency
	workspace WorkspaceKey
}

// add counts a decision on an ask.
func (t *tally) add(a *Ask, c Counts, now time.Time) {
	if t.begun.IsZero() {
		t.begun = now
	}
	number := int64(now.Sub(t.begun) / time.Second)
	s := &t.seconds[number%tallySeconds]
	if s.counts == nil {
		s.counts = make(map[tallyKey]Counts)
	}
	if s.number != number {
		s.number = number
		clear(s.counts)
	}
	key := tallyKey{a.Urgency, a.Workspace}
	s.counts[key] = s.counts[key].plus(c)
}

// plus returns the sums of two counts.
func (c Counts) plus(o Counts) Counts {
	return Counts{c.Granted + o.Granted, c.Waiting + o.Waiting, c.Refused + o.Refused}
}

// addTo adds the counts of the last tallySeconds to a status.
func (t *tally) addTo(s *Status, now time.Time) {
	current := int64(now.Sub(t.begun) / time.Second)
	for i := range t.seconds {
		if current-t.seconds[i].number >= tallySeconds {
			continue
		}
		for key, c := range t.seconds[i].counts {
			s.count(key.urgency, key.workspace, c)
			s.Refused += c.Refused
		}
	}
}

// count adds counts of an urgency and a workspace.
func (s *Status) count(u Urgency, w WorkspaceKey, c Counts) {
	s.ByUrgency[u] = s.ByUrgency[u].plus(c)
	s.ByWorkspace[w] = s.ByWorkspace[w].plus(c)
}

// limitWorkspaces removes all but the maxStatusWorkspaces workspaces with the most asks.
func (s *Status) limitWorkspaces() {
	keys := slices.SortedFunc(maps.Keys(s.ByWorkspace), func(a, b WorkspaceKey) int {
		return cmp.Or(cmp.Compare(s.ByWorkspace[b].sum(), s.ByWorkspace[a].sum()), cmp.Compare(a, b))
	})
	for _, key := range keys[min(len(keys), maxStatusWorkspaces):] {
		delete(s.ByWorkspace, key)
	}
}
