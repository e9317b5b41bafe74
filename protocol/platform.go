// This file defines the documents that the platform publishes. It is the one
// place to change for another platform's protocol.

package protocol

import (
	"encoding/json"
	"fmt"
	"net"

	"hingewinch.org/hingewinch/state"
)

// Paths of the platform. Both answer 304 when the wait ends without a change
// from the content that If-None-Match names.
const (
	PathConfig  = "/v1/config"
	PathMembers = "/v1/members"
)

type listDocument struct {
	Revision uint64           `json:"revision"`
	Members  []memberDocument `json:"members"`
}

type memberDocument struct {
	ID          string `json:"id"`
	Kind        string `json:"kind"`
	Group       string `json:"group,omitempty"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// ParseMemberList reads the platform's list. A list with one wrong entry is
// refused as a whole: half a list is worse than the last good one.
func ParseMemberList(text []byte) (*state.MemberList, error) {
	var doc listDocument
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("member list is not valid JSON: %w", err)
	}
	seen := make(map[string]bool, len(doc.Members))
	members := make([]state.Member, 0, len(doc.Members))
	for i, d := range doc.Members {
		m, err := d.member()
		if err != nil {
			return nil, fmt.Errorf("member list: entry %d (%q): %w", i, d.ID, err)
		}
		if seen[d.ID] {
			return nil, fmt.Errorf("member list: entry %d: id %q stands twice", i, d.ID)
		}
		seen[d.ID] = true
		members = append(members, m)
	}
	return state.NewMemberList(state.ListRevision(doc.Revision), text, members), nil
}

func (d memberDocument) member() (state.Member, error) {
	st, err := state.ParseMemberState(d.State)
	if err != nil {
		return state.Member{}, err
	}
	kind := state.MemberKind(d.Kind)
	if kind != state.KindDaemon && kind != state.KindEngine && kind != state.KindService {
		return state.Member{}, fmt.Errorf("unknown kind %q; use daemon, engine or service", d.Kind)
	}
	if d.ID == "" || d.Domain == "" {
		return state.Member{}, fmt.Errorf("id or domain is empty")
	}
	if _, _, err := net.SplitHostPort(d.Address); err != nil {
		return state.Member{}, fmt.Errorf("address: %w", err)
	}
	return state.Member{
		ID:          d.ID,
		Kind:        kind,
		Group:       d.Group,
		Domain:      state.FailureDomain(d.Domain),
		Address:     d.Address,
		Incarnation: state.Incarnation(d.Incarnation),
		State:       st,
	}, nil
}
