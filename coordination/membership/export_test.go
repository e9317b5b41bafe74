package membership

import "time"

// LastSeen returns the time at which a member sent its newest known heartbeat, or zero if it is unknown.
func (r *Roster) LastSeen(a Address) time.Time {
	if e := r.members[a]; e != nil {
		return e.lastSeen
	}
	return time.Time{}
}
