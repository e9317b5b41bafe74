// This file holds the documents that are known, and what they mean: the
// configuration in force and the replicas.

package routes

import (
	"bytes"
	"iter"
	"maps"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/state/feed"
)

// Documents says which of the store's documents are which, and reads them.
type Documents interface {
	// Config returns the document of the configuration, if it is known.
	Config(f *feed.Feed) (feed.Item, bool)
	// ParseConfig reads it. The configuration is taken whole or not at all.
	ParseConfig(it feed.Item) (*routing.Table, error)
	// ParseReplica reads the document of a replica. The error says why it names none.
	ParseReplica(it feed.Item) (routing.Replica, error)
	feed.Order
	// ReplicaID returns which replica a document is about; false if it is about
	// something else.
	ReplicaID(key string) (routing.ReplicaID, bool)
	// EvacuatedDomain returns the failure domain whose evacuation a document is about;
	// false if it is about something else.
	EvacuatedDomain(key string) (state.FailureDomain, bool)
}

// sourceStore is the source, in the log, of documents that came from the store;
// other sources are peers' addresses.
const sourceStore = "store"

// maxReplicaLines is the number of documents that change at once up to which the log
// has a line for each replica. A start in a large fleet changes thousands; the
// line of the documents says how many.
const maxReplicaLines = 100

// catalog is the documents and what they mean. The control loop owns it.
type catalog struct {
	documents Documents
	log       *Log
	feed      *feed.Feed
	// table is the configuration in force, nil at first, and tableItem its document.
	table       *routing.Table
	tableItem   feed.Item
	replicas    map[string]routing.Replica // by key of their documents
	lists       map[routing.ServiceName]*routing.ReplicaList
	unusable    map[string]unusableEntry // by key
	expired     *routing.ExpiredEntries
	evacuations *routing.Evacuations
	everything  *packing // nil: no peer has asked for all documents since the last change
	changedAt   time.Time
}

// unusableEntry is an entry that names no replica, and why.
type unusableEntry struct {
	id  routing.ReplicaID
	why error
}

func newCatalog(d Documents, l *Log) *catalog {
	return &catalog{
		documents: d, log: l, feed: feed.New(d), replicas: make(map[string]routing.Replica), expired: routing.NewExpiredEntries(),
		lists: make(map[routing.ServiceName]*routing.ReplicaList), unusable: make(map[string]unusableEntry), evacuations: routing.NewEvacuations(),
	}
}

// apply takes over documents that changed in the feed. storeTrouble says that the
// store was unreachable lately, so that entries may have expired though the
// replicas live. It returns the replicas that have lost what they cached, because they turned
// cold or started again.
func (c *catalog) apply(changed []feed.Item, source string, storeTrouble bool, now time.Time) (emptied []routing.LoadKey) {
	c.everything = nil
	logEach := len(changed) <= maxReplicaLines
	for _, it := range changed {
		if key, ok := c.applyReplica(it, storeTrouble, logEach, now); ok {
			emptied = append(emptied, key)
		}
		c.applyEvacuation(it, now)
	}
	c.applyConfig(source)
	c.changedAt = now
	c.log.Documents(len(changed), source, c.feed.Position())
	return emptied
}

// States of replicas in the log and in operators' answers.
const (
	stateReady     = "ready"
	stateDraining  = "draining"
	stateGone      = "gone"
	stateCold      = "cold"
	stateWarm      = "warm"
	stateRestarted = "restarted"
	stateUnusable  = "unusable" // its entry names no replica
)

func stateName(r *routing.Replica) string {
	if r.Draining {
		return stateDraining
	}
	return stateReady
}

// applyReplica takes over the document of a replica, if it is one. It returns the incarnation
// that was known and has lost what it cached, if there is one: the replica turned cold, or
// started again.
func (c *catalog) applyReplica(it feed.Item, storeTrouble, logEach bool, now time.Time) (emptied routing.LoadKey, ok bool) {
	id, ok := c.documents.ReplicaID(it.Key)
	if !ok {
		return 0, false
	}
	before, known := c.replicas[it.Key]
	delete(c.replicas, it.Key)
	if known {
		c.list(before.Service).Remove(before.ID)
	}
	delete(c.unusable, it.Key)
	if it.Gone {
		if known && !before.Draining {
			c.expired.Add(before, storeTrouble, now)
		}
		if logEach {
			c.log.Replica(id, stateGone, it.Revision)
		}
		return 0, false
	}
	r, err := c.documents.ParseReplica(it)
	if err != nil {
		c.unusable[it.Key] = unusableEntry{id: id, why: err}
		c.log.Unusable(it.Key, it.Revision, err)
		return 0, false
	}
	if r.ColdFor > 0 {
		r.ColdUntil = now.Add(r.ColdFor)
	}
	if logEach {
		c.logReplica(it, &before, known, &r)
	}
	c.expired.Remove(r.ID)
	c.replicas[it.Key] = r
	c.list(r.Service).Put(r)
	turnedCold := before.ColdFor == 0 && r.ColdFor > 0
	return before.LoadKey(), known && (turnedCold || isRestart(&before, &r))
}

// isRestart reports whether two entries are of two starts of one replica.
func isRestart(before, r *routing.Replica) bool { return before.Incarnation() != r.Incarnation() }

// logReplica writes what changed about a replica.
func (c *catalog) logReplica(it feed.Item, before *routing.Replica, known bool, r *routing.Replica) {
	if known && isRestart(before, r) {
		c.log.Restarted(r.ID, r.StartTime, it.Revision)
	}
	if !known || before.Draining != r.Draining {
		c.log.Replica(r.ID, stateName(r), it.Revision)
	}
	if wasCold := before.ColdFor > 0; wasCold != (r.ColdFor > 0) {
		c.log.Cold(r.ID, r.ColdFor, it.Revision)
	}
}

// applyEvacuation takes in that a failure domain is evacuated or taken back.
func (c *catalog) applyEvacuation(it feed.Item, now time.Time) {
	domain, ok := c.documents.EvacuatedDomain(it.Key)
	if !ok {
		return
	}
	changed := false
	if it.Gone {
		changed = c.evacuations.End(domain, now)
	} else {
		changed = c.evacuations.Begin(domain)
	}
	if changed {
		c.log.Evacuation(domain, !it.Gone, it.Revision)
	}
}

// applyConfig takes a newer configuration. One that can't be read changes nothing.
func (c *catalog) applyConfig(source string) {
	it, ok := c.documents.Config(c.feed)
	if !ok || c.table != nil && it.Revision == c.tableItem.Revision && bytes.Equal(it.Value, c.tableItem.Value) {
		return
	}
	t, err := c.documents.ParseConfig(it)
	if err != nil {
		c.log.Rejected(it.Key, err)
		return
	}
	if c.table != nil && t.Version < c.table.Version {
		c.log.Rejected(it.Key, errOlderVersion)
		return
	}
	c.table, c.tableItem = t, it
	for _, warning := range t.Warnings {
		c.log.NotUnderstood(it.Key, warning)
	}
	c.log.Config(t.Version, it.Revision, source)
}

// allReplicas returns the replicas that have entries.
func (c *catalog) allReplicas() iter.Seq[routing.Replica] { return maps.Values(c.replicas) }

// view builds the view of the documents. Replicas that leave by their own word are draining,
// whatever their entries say.
func (c *catalog) view(leavings *routing.Leavings, now time.Time) *routing.View {
	v := &routing.View{Table: c.table, Position: c.feed.Position(), Pools: make(map[routing.ServiceName]*routing.Pool)}
	for name, list := range c.lists {
		if c.isService(name) {
			v.Pools[name] = c.pool(name, list.Pool(), leavings, now)
		}
	}
	return v
}

// pool returns the pool of a service with what is known besides the entries. It is the pool of
// the entries where that is nothing.
func (c *catalog) pool(name routing.ServiceName, entries *routing.Pool, leavings *routing.Leavings, now time.Time) *routing.Pool {
	p := entries.Overlay()
	if restored := c.expired.Restore(name, p, now); len(restored) > 0 {
		c.log.Restored(name, len(restored), len(entries.Ready))
	}
	leaves := leavings.Apply(p)
	isEvacuated := c.evacuations.Apply(p, c.coldStart(name))
	if !leaves && !isEvacuated && len(p.Expired) == 0 {
		return entries
	}
	p.Sort()
	return p
}

// isService reports whether the configuration in force names a service. An entry with another
// one is used once a configuration names it.
func (c *catalog) isService(name routing.ServiceName) bool {
	if c.table == nil {
		return true
	}
	_, ok := c.table.Service(name)
	return ok
}

// coldStart returns how long the replicas of a service are cold after a start.
func (c *catalog) coldStart(name routing.ServiceName) time.Duration {
	if c.table == nil {
		return 0
	}
	s, ok := c.table.Service(name)
	if !ok {
		return 0
	}
	return s.ColdStart
}

// list returns the replicas of a service.
func (c *catalog) list(name routing.ServiceName) *routing.ReplicaList {
	l := c.lists[name]
	if l == nil {
		l = routing.NewReplicaList()
		c.lists[name] = l
	}
	return l
}

// answer returns what a peer is answered that asks for documents.
func (c *catalog) answer(q *documentsRequest) documentsAnswer {
	at := c.feed.Position()
	if q.knowsEras && at.Era < q.after.Era {
		return documentsAnswer{documents: gossip.Documents{Items: c.feed.Lasting(), Era: at.Era, Revision: at.Revision}}
	}
	after := q.after.Revision
	if q.knowsEras && q.after.Era != at.Era {
		after = 0 // its revision says nothing of this era
	}
	if after == 0 && !q.takesDigest {
		return documentsAnswer{everything: c.packEverything()}
	}
	items, whole := c.feed.SinceWith(after, q.parts)
	switch {
	case whole && q.takesDigest:
		d := c.feed.Digest(!q.knowsEras || q.after.Era == at.Era)
		return documentsAnswer{digest: &d}
	case whole:
		return documentsAnswer{everything: c.packEverything()}
	}
	return documentsAnswer{documents: gossip.Documents{Items: items, Era: at.Era, Revision: at.Revision}}
}

// packEverything returns all documents, to be packed when the first peer is answered with them.
func (c *catalog) packEverything() *packing {
	at := c.feed.Position()
	if c.everything == nil || c.everything.at != at {
		items, _ := c.feed.Since(0)
		c.everything = &packing{at: at, documents: gossip.Documents{Items: items, Era: at.Era, Revision: at.Revision, Whole: true}}
	}
	return c.everything
}
