// This file is the part of the control loop that enters another era of the store: the store came back
// from a copy of itself, and its revisions begin anew after that of the copy. What the documents of
// before are worth then is decided in state/feed; how long, here.

package routes

import (
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

const (
	// missingTime is how long a document that the copy lacks is held. The users: replicas that live
	// have written their entries again within about two seconds.
	missingTime = 3 * time.Second
	// standingTime is how long a document that is newer by its own word stands against the copy's.
	// The entry of a replica that has gone expires there in a few of its heartbeats, one that says
	// ready after it said draining is written again.
	standingTime = 10 * time.Second
)

// eraState is what the control loop knows of the store's eras beside the feed's.
type eraState struct {
	enteredAt time.Time
	// restored says that this process has seen the store come back from a copy.
	restored bool
}

// takeList takes over a whole list of the store or of a peer. One of an era that is over is left out.
func (c *control) takeList(items []feed.Item, at feed.Position, source string, now time.Time) {
	f := c.catalog.feed
	from := f.Position()
	if at.Era < from.Era {
		return
	}
	if at.Era > from.Era {
		f.EnterEra(at.Era)
	}
	changed := f.ApplyList(items, at.Revision)
	c.apply(changed, source, now)
	c.noteEra(from, source, len(changed), now)
}

// noteEra notes that the feed may have entered another era, with some documents that changed.
func (c *control) noteEra(from feed.Position, source string, changed int, now time.Time) {
	at := c.catalog.feed.Position()
	if at.Era == from.Era {
		return
	}
	c.era.enteredAt = now
	c.roster.SetEraKnown()
	if from.Era > 0 {
		c.era.restored = true
		c.storeTroubleAt = now // entries of living replicas may be missing
		c.log.Era(from, at, source, changed, c.version())
	}
	if source != sourceStore {
		// A watch that waits in the old era ends.
		c.setReadPlan(c.readPlan.Load().ReadPlan)
	}
	if changed == 0 {
		c.announce(now)
	}
}

// settleFormer ends the time for which documents of before hold without the store's word.
func (c *control) settleFormer(now time.Time) {
	f, age := c.catalog.feed, now.Sub(c.era.enteredAt)
	if age >= missingTime {
		if gone := f.DropMissing(); len(gone) > 0 {
			c.log.Former(len(gone), "documents were not written again after the store came back; they are gone")
			c.apply(gone, sourceStore, now)
		}
	}
	if age >= standingTime {
		if yielded := f.AcceptOverruled(); len(yielded) > 0 {
			c.log.Former(len(yielded), "the store stays with older documents than were known; they are in force")
			c.apply(yielded, sourceStore, now)
		}
	}
}

// placeEra returns the era in which a message counts that names one, or none. A build that knows no
// eras goes by revisions alone, which may be those of before a return. They count where there is nothing
// better: this daemon does not reach the store, nor does one that names an era, and has not seen the
// store come back.
func (c *control) placeEra(named feed.Era, now time.Time) feed.Era {
	if named == 0 && c.storeLost && !c.era.restored && !c.roster.HasEraReader(now) {
		return c.catalog.feed.Position().Era
	}
	return named
}
