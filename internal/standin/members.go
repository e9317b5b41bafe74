// This file encodes a member list in the format that the platform publishes. The format is deliberately
// defined a second time: a fake that used the product's definition would not reveal errors in it.

package standin

import (
	"encoding/json"

	"hingewinch.org/hingewinch/state"
)

// listDocument is the published member list.
type listDocument struct {
	Revision uint64           `json:"revision"`
	Members  []memberDocument `json:"members"`
}

// memberDocument is an entry of the published member list.
type memberDocument struct {
	ID          string `json:"id"`
	Kind        string `json:"kind"`
	Group       string `json:"group,omitempty"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
}

// FormatMemberList encodes a member list as the platform does.
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
		panic("encode member list of strings and numbers: " + err.Error())
	}
	return text
}
