package membership

import "time"

// LastSeen returns when a member was last heard of; zero if it never was.
func (r *Roster) LastSeen(a Address) time.Time {
	if e := r.members[a]; e != nil {
		return e.seen
	}
	return time.Time{}
}
