// This file is the part of the control loop that handles a restore of the store from a backup. A
// restore begins a new era, in which revisions continue from that of the backup. state/feed decides
// which documents from before the restore are kept; this file decides for how long.

package routes

import (
	"time"

	"hingewinch.org/hingewinch/state/feed"
)

const (
	// missingDocumentGrace is how long a document that the backup lacks is kept. According to the users, live
	// replicas rewrite their entries within about two seconds.
	missingDocumentGrace = 3 * time.Second
	// newerDocumentGrace is how long a document that is newer by its own content is preferred over the
	// backup's. By then the entry of a replica that is gone has expired in the store, within a few of
	// the replica's heartbeats, and an entry that says ready where it said draining has been rewritten.
	newerDocumentGrace = 10 * time.Second
)

// eraState is the control loop's state about the store's eras, in addition to the feed's.
type eraState struct {
	enteredAt time.Time
	// restored says that the store was restored from a backup while this process was running.
	restored bool
}

// applyList applies a complete list from the store or a peer. A list of an earlier era is ignored.
func (c *control) applyList(items []feed.Item, at feed.Position, source string, now time.Time) {
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
	c.recordEraChange(from, source, len(changed), now)
}

// recordEraChange handles the feed's change to another era, if there was one since it was at from. changed is
// the number of documents that changed with it.
func (c *control) recordEraChange(from feed.Position, source string, changed int, now time.Time) {
	at := c.catalog.feed.Position()
	if at.Era == from.Era {
		return
	}
	c.era.enteredAt = now
	c.roster.SetEraKnown()
	if from.Era > 0 {
		c.era.restored = true
		c.storeUnreachableAt = now // entries of live replicas may be missing
		c.log.StoreRestored(from, at, source, changed, c.version())
	}
	if source != sourceStore {
		// Interrupt a watch that waits for changes of the old era.
		c.setReadPlan(c.readPlan.Load().ReadPlan)
	}
	if changed == 0 {
		c.announce(now)
	}
}

// expirePreRestore drops documents from before the restore once the time for which they are kept is over.
func (c *control) expirePreRestore(now time.Time) {
	f, age := c.catalog.feed, now.Sub(c.era.enteredAt)
	if age >= missingDocumentGrace {
		if gone := f.DropMissing(); len(gone) > 0 {
			c.log.PreRestoreDocuments(len(gone), "documents were not rewritten after the store was restored; treating them as deleted")
			c.apply(gone, sourceStore, now)
		}
	}
	if age >= newerDocumentGrace {
		if yielded := f.AcceptOverruled(); len(yielded) > 0 {
			c.log.PreRestoreDocuments(len(yielded), "the restored store still has older documents than were known; using them")
			c.apply(yielded, sourceStore, now)
		}
	}
}

// resolveEra returns the era in which a peer's message is interpreted, given the era that it names, or 0
// if it names none. Builds without support for eras send revisions only, which may be from before a
// restore. Such revisions are interpreted in the current era only as a last resort: if this daemon can't
// reach the store, no live peer that names an era can read it, and this process has seen no restore.
func (c *control) resolveEra(declared feed.Era, now time.Time) feed.Era {
	if declared == 0 && c.storeUnreachable && !c.era.restored && !c.roster.HasEraReader(now) {
		return c.catalog.feed.Position().Era
	}
	return declared
}
