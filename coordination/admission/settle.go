// When a daemon that has just started knows the other daemons of its fleet, so that it can tell who coordinates a service.
// Until then it decides alone, with a place at most: it refuses callers while slots are idle.
//
// Inputs: the live members, the size of the fleet as other daemons report it, which seeds are missing among the members,
// and whether a member has run for long. The roster is complete as soon as one of these holds:
//
//  1. settleFor has passed.
//  2. The daemon has no seeds. Others that have it for a seed find it within a heartbeat; until then, there may be one
//     coordinator beside the one of the other daemons.
//  3. The daemon knows a member that has run for settleFor or longer, and with it three quarters of the daemons. Such a
//     member knows the fleet, and reports its size in the same message.
//  4. Another daemon has reported more daemons than this one knew, and this one now knows three quarters of these. Until
//     there is such a report, the size of the fleet is the number of known daemons.
//  5. All seeds are members, and none has joined for settleQuiet. Daemons that start together find each other through the
//     seeds.
//  6. Another daemon asks this one for permits: its own roster is complete.

package admission

import "time"

const (
	// settleFor is five heartbeats, after which daemons that started together know each other.
	settleFor = time.Second
	// settleQuiet is one and a half heartbeats: seeds that know each other's members name them in the next one.
	settleQuiet = 300 * time.Millisecond
)

// RosterEvidence shows whether the members that a daemon knows are all there are. The zero value shows nothing.
type RosterEvidence struct {
	Seedless     bool // the daemon has no seeds other than itself
	KnowsSeeds   bool // all its seeds are members
	KnowsSettled bool // a member started settleFor or longer before this daemon
}

// SetRosterEvidence is to be called before SetMembers, while the daemon may not know all others.
func (d *Daemon) SetRosterEvidence(e RosterEvidence) { d.evidence = e }

// settle updates when the roster is complete. known and daemons are how many daemons this one knows and how many there are,
// including this one.
func (d *Daemon) settle(known, daemons int, now time.Time) {
	d.sizeReported = d.sizeReported || daemons > known
	knowsMost := 4*known >= 3*daemons
	at := d.begun.Add(settleFor)
	switch {
	case d.evidence.Seedless, knowsMost && (d.evidence.KnowsSettled || d.sizeReported):
		at = now
	case knowsMost && known > 1 && d.evidence.KnowsSeeds:
		at = earliest(at, d.joined.Add(settleQuiet))
	}
	if !at.Equal(d.settled) {
		d.settled = at
		d.forgetChosen()
	}
}

// forgetChosen makes all clients choose their coordinators again.
func (d *Daemon) forgetChosen() {
	for _, c := range d.clients {
		c.chosen = false
	}
}

// isSettling reports whether the roster may be incomplete because the daemon has just started.
func (d *Daemon) isSettling(now time.Time) bool { return d.settled.IsZero() || now.Before(d.settled) }
