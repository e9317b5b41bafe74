// This file writes a member list in the form that the platform publishes. The form is
// written down a second time on purpose: a stand-in that shared the product's would
// agree with it on a wrong one.

package standin

import (
	"encoding/json"

	"hingewinch.org/hingewinch/state"
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

// FormatMemberList writes a list as the platform does.
func FormatMemberList(rev state.ListRevision, members []state.Member) []byte {
	doc := listDocument{Revision: uint64(rev), Members: make([]memberDocument, len(members))}
	for i, m := range members {
		doc.Members[i] = memberDocument{
			ID: m.ID, Kind: string(m.Kind), Group: m.Group, Domain: string(m.Domain),
			Address: m.Address, Incarnation: uint64(m.Incarnation), State: m.State.String(),
		}
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic("member list of strings and numbers can't be encoded: " + err.Error())
	}
	return text
}
