// This file defines the members of the fleet and the list in which the
// platform publishes them.

package state

import (
	"fmt"
	"sort"
)

// MemberKind says what runs on a VM.
type MemberKind string

// The kinds of members.
const (
	KindDaemon  MemberKind = "daemon"
	KindEngine  MemberKind = "engine"
	KindService MemberKind = "service"
)

// MemberState orders the stages of one incarnation. A state only ever
// grows within an incarnation.
type MemberState uint8

// The stages of a member.
const (
	Live MemberState = iota + 1
	Leaving
	Gone
)

var memberStateNames = map[MemberState]string{Live: "live", Leaving: "leaving", Gone: "gone"}

// String returns the name that the platform's list uses.
func (s MemberState) String() string { return memberStateNames[s] }

// ParseMemberState reads a name of the platform's list.
func ParseMemberState(name string) (MemberState, error) {
	for s, n := range memberStateNames {
		if n == name {
			return s, nil
		}
	}
	return 0, fmt.Errorf("unknown member state %q; use live, leaving or gone", name)
}

// Member is one VM's process as the platform or a peer knows it.
type Member struct {
	ID          string
	Kind        MemberKind
	Group       string // engine group or service; empty for a daemon
	Domain      FailureDomain
	Address     string // host:port that takes requests
	Incarnation Incarnation
	State       MemberState
}

// MemberList is one list of the platform, sorted by id. It is immutable.
type MemberList struct {
	Head    Head
	Text    []byte // as published; what peers pass on
	Members []Member
	daemons []Member
}

// NewMemberList sorts the members and returns the list of that revision.
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

// Find returns the member of that id, or nil.
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

// Daemons returns the daemons of the list that are not gone, by id. The slice is
// shared and must not be changed: it is asked for on the path of requests.
func (l *MemberList) Daemons() []Member {
	if l == nil {
		return nil
	}
	return l.daemons
}
