// This file defines the members of the fleet and the member list that the
// platform publishes.

package state

import (
	"fmt"
	"sort"
)

// MemberKind is the kind of process that a member runs.
type MemberKind string

// The kinds of members, as the member list names them.
const (
	KindDaemon  MemberKind = "daemon"
	KindEngine  MemberKind = "engine"
	KindService MemberKind = "service"
)

// MemberState is the lifecycle state of a member. Within an incarnation it only
// ever increases.
type MemberState uint8

// The lifecycle states of a member, in order.
const (
	Live MemberState = iota + 1
	Leaving
	Gone
)

var memberStateNames = map[MemberState]string{Live: "live", Leaving: "leaving", Gone: "gone"}

// String returns the name of the state in the platform's member list.
func (s MemberState) String() string { return memberStateNames[s] }

// ParseMemberState parses the name of a state in the platform's member list.
func ParseMemberState(name string) (MemberState, error) {
	for s, n := range memberStateNames {
		if n == name {
			return s, nil
		}
	}
	return 0, fmt.Errorf("unknown member state %q; use live, leaving or gone", name)
}

// Member describes a process of the fleet as reported by the platform or a peer.
type Member struct {
	ID          string
	Kind        MemberKind
	Group       string // engine group or service; empty for a daemon
	Domain      FailureDomain
	Address     string // host:port that accepts requests
	Incarnation Incarnation
	State       MemberState
}

// MemberList is a member list that the platform published, sorted by id. It is
// immutable.
type MemberList struct {
	Head    Head
	Text    []byte // as published; peers forward it unchanged
	Members []Member
	daemons []Member
}

// NewMemberList returns the member list with the given revision, text and
// members, which need not be sorted.
func NewMemberList(rev ListRevision, text []byte, members []Member) *MemberList {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	l := &MemberList{Head: HeadOf(uint64(rev), text), Text: text, Members: sorted}
	for _, m := range sorted {
		if m.Kind == KindDaemon && m.State != Gone {
			l.daemons = append(l.daemons, m)
		}
	}
	return l
}

// Find returns the member with the given id, or nil.
func (l *MemberList) Find(id string) *Member {
	if l == nil {
		return nil
	}
	i := sort.Search(len(l.Members), func(i int) bool { return l.Members[i].ID >= id })
	if i < len(l.Members) && l.Members[i].ID == id {
		return &l.Members[i]
	}
	return nil
}

// Daemons returns the daemons that are not gone, sorted by id. The slice is
// shared and must not be modified: it is not copied because request handling
// calls this method.
func (l *MemberList) Daemons() []Member {
	if l == nil {
		return nil
	}
	return l.daemons
}
