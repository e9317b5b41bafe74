// This file defines the documents that the platform publishes. Support for another
// platform protocol requires changes only here.

package protocol

import (
	"encoding/json"
	"fmt"
	"net"

	"hingewinch.org/hingewinch/state"
)

// Paths served by the platform. Both return 304 if the content still matches
// If-None-Match when the wait time has elapsed.
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

// ParseMemberList parses the platform's member list. A list with an invalid entry is
// rejected as a whole, because an incomplete list is worse than the last valid one.
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
			return nil, fmt.Errorf("member list: entry %d: id %q is listed twice", i, d.ID)
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
