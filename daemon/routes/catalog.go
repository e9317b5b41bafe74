// This file keeps the documents known to this daemon and the state parsed from them:
// the active configuration, the replicas and the evacuated failure domains.

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

// Documents classifies and parses the store's documents.
type Documents interface {
	// Config returns the configuration document, if it is known.
	Config(f *feed.Feed) (feed.Item, bool)
	// ParseConfig parses a configuration document. A configuration is accepted as a
	// whole or rejected.
	ParseConfig(it feed.Item) (*routing.Table, error)
	// ParseReplica parses a replica's entry. The error says why the entry is unusable.
	ParseReplica(it feed.Item) (routing.Replica, error)
	feed.Versioner
	// ReplicaID returns the replica whose entry has the given key; false if the key
	// belongs to another kind of document.
	ReplicaID(key string) (routing.ReplicaID, bool)
	// EvacuatedDomain returns the failure domain whose evacuation document has the given
	// key; false if the key belongs to another kind of document.
	EvacuatedDomain(key string) (state.FailureDomain, bool)
}

// sourceStore is the logged source of documents read from the store; documents from
// peers are logged with the peer's address.
const sourceStore = "store"

// maxReplicaLogLines is the largest number of simultaneous document changes for which the
// log has a line for each replica. A start in a large fleet changes thousands; the
// summary line about the documents gives their number.
const maxReplicaLogLines = 100

// catalog holds the documents and the state parsed from them. It is owned by the
// control loop.
type catalog struct {
	documents Documents
	log       *Log
	feed      *feed.Feed
	// table is the active configuration, nil until there is one; tableItem is its document.
	table       *routing.Table
	tableItem   feed.Item
	rejected    []byte                     // the content of the configuration that was rejected last; nil: none
	overruled   []byte                     // the content of the store's configuration that was checked last; nil: none
	replicas    map[string]routing.Replica // by document key
	lists       map[routing.ServiceName]*routing.ReplicaList
	unusable    map[string]unusableEntry // by document key
	unusableLog unusableLog
	expired     *routing.ExpiredEntries
	evacuations *routing.Evacuations
	versions    *routing.VersionHistory
	applied     feed.Position // of the documents when some of them last changed; zero: there were none
	// missedVersion says that the entry of a replica came and went unseen, and that its version is not known.
	missedVersion bool
	snapshot      *encodedSnapshot // nil if no peer has requested all documents since the last change
	changedAt     time.Time
}

// unusableEntry is a replica's entry that can't be used, with the reason.
type unusableEntry struct {
	id  routing.ReplicaID
	why error
}

func newCatalog(d Documents, l *Log) *catalog {
	return &catalog{
		documents: d, log: l, feed: feed.New(d), replicas: make(map[string]routing.Replica), expired: routing.NewExpiredEntries(),
		lists: make(map[routing.ServiceName]*routing.ReplicaList), unusable: make(map[string]unusableEntry), evacuations: routing.NewEvacuations(),
		versions: routing.NewVersionHistory(),
	}
}

// apply updates the catalog from documents that changed in the feed. storeOutage says
// that the store was unreachable recently, so that entries of healthy replicas may have
// expired. It returns the replicas that lost their prompt cache because they became cold
// or restarted.
func (c *catalog) apply(changed []feed.Item, source string, storeOutage bool, now time.Time) (cacheLost []routing.LoadKey) {
	c.snapshot = nil
	if c.versions.Since().IsZero() {
		c.versions.Begin(c.feed.Position(), now)
	}
	logEach := len(changed) <= maxReplicaLogLines
	c.unusableLog.begin()
	for _, it := range changed {
		if key, ok := c.applyReplica(it, storeOutage, logEach, now); ok {
			cacheLost = append(cacheLost, key)
		}
		c.applyEvacuation(it, now)
	}
	c.log.UnusableOthers(c.unusableLog.others)
	c.versions.Learn(newestPosition(c.feed.Position(), changed), now)
	c.applied = c.feed.Position()
	c.applyConfig(source, now)
	c.changedAt = now
	c.log.Documents(len(changed), source, c.feed.Position())
	return cacheLost
}

// newestPosition returns the position of the newest of the changed documents. The page of a list is applied before the
// position of the list is reached, so that the position alone may be older. It is the zero position, which no member of a
// fleet with a restored store tells, if one is from before the restore: only some daemons have that.
func newestPosition(at feed.Position, changed []feed.Item) feed.Position {
	for i := range changed {
		if changed[i].Revision == 0 {
			return feed.Position{}
		}
		at.Revision = max(at.Revision, changed[i].Revision)
	}
	return at
}

// States of replicas in the log and in responses to operators.
const (
	stateReady     = "ready"
	stateDraining  = "draining"
	stateGone      = "gone"
	stateCold      = "cold"
	stateWarm      = "warm"
	stateRestarted = "restarted"
	stateUnusable  = "unusable" // its entry can't be used
)

func stateName(r *routing.Replica) string {
	if r.Draining {
		return stateDraining
	}
	return stateReady
}

// applyReplica updates a replica from its entry, and ignores other documents. If a known
// incarnation lost its prompt cache because the replica became cold or restarted, it returns
// the key of that incarnation.
func (c *catalog) applyReplica(it feed.Item, storeOutage, logEach bool, now time.Time) (cacheLost routing.LoadKey, ok bool) {
	id, ok := c.documents.ReplicaID(it.Key)
	if !ok {
		return 0, false
	}
	before, known := c.replicas[it.Key]
	delete(c.replicas, it.Key)
	if known {
		c.list(before.Service).Remove(before.ID)
		c.versions.Remove(&before, now)
	}
	_, wasUnusable := c.unusable[it.Key]
	delete(c.unusable, it.Key)
	if it.Deleted {
		if known && !before.Draining {
			c.expired.Add(before, storeOutage, now)
		}
		if !known && !wasUnusable {
			c.observeUnseen(it, now)
		}
		if logEach {
			c.log.Replica(id, stateGone, it.Revision)
		}
		return 0, false
	}
	r, err := c.documents.ParseReplica(it)
	if err != nil {
		c.unusable[it.Key] = unusableEntry{id: id, why: err}
		c.log.CountUnusable()
		if c.unusableLog.allow(it) {
			c.log.Unusable(it.Key, it.Revision, err)
		}
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
	c.versions.Add(&r)
	turnedCold := before.ColdFor == 0 && r.ColdFor > 0
	return before.LoadKey(), known && (turnedCold || isRestart(&before, &r))
}

// observeUnseen records the removal of a replica's entry that this daemon has never had. If it came and went since the documents last
// changed, streams may have begun at its version. Older removals are those of documents that came without it.
func (c *catalog) observeUnseen(it feed.Item, now time.Time) {
	if c.applied == (feed.Position{}) || c.applied.Era != c.feed.Position().Era || it.Revision <= c.applied.Revision {
		return
	}
	it.Deleted = false
	if r, err := c.documents.ParseReplica(it); err == nil && len(it.Value) > 0 {
		c.versions.Add(&r)
		c.versions.Remove(&r, now)
		return
	}
	c.missedVersion = true
}

// takeMissedVersion reports whether a version was missed since the last call.
func (c *catalog) takeMissedVersion() bool {
	missed := c.missedVersion
	c.missedVersion = false
	return missed
}

// isRestart reports whether two entries of a replica belong to different incarnations.
func isRestart(previous, r *routing.Replica) bool { return previous.Incarnation() != r.Incarnation() }

// logReplica logs what changed in a replica's entry.
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

// applyEvacuation updates the evacuated failure domains from an evacuation document, and
// ignores other documents.
func (c *catalog) applyEvacuation(it feed.Item, now time.Time) {
	domain, ok := c.documents.EvacuatedDomain(it.Key)
	if !ok {
		return
	}
	changed := false
	if it.Deleted {
		changed = c.evacuations.End(domain, now)
	} else {
		changed = c.evacuations.Begin(domain)
	}
	if changed {
		c.log.Evacuation(domain, !it.Deleted, it.Revision)
	}
}

// applyConfig activates a newer configuration. One that can't be parsed or has a lower
// version is rejected.
func (c *catalog) applyConfig(source string, now time.Time) {
	c.checkOverruledConfig()
	it, ok := c.documents.Config(c.feed)
	if !ok || c.table != nil && (it.Revision == c.tableItem.Revision || it.Revision == 0) && bytes.Equal(it.Value, c.tableItem.Value) {
		return
	}
	t, ok := c.acceptConfig(it)
	if !ok {
		return
	}
	c.table, c.tableItem, c.rejected = t.WithFormerSplits(c.table, now), it, nil
	c.versions.RetainFor(t.StreamLife())
	for _, warning := range t.Warnings {
		c.log.NotUnderstood(it.Key, warning)
	}
	c.log.Config(t.Version, it.Revision, source)
}

// acceptConfig parses a configuration. It returns false, and logs the reason once, if it is rejected.
func (c *catalog) acceptConfig(it feed.Item) (*routing.Table, bool) {
	if c.rejected != nil && bytes.Equal(it.Value, c.rejected) {
		return nil, false // the version in force does not decrease, so that it would be rejected again
	}
	t, err := c.documents.ParseConfig(it)
	if err == nil && c.table != nil && t.Version < c.table.Version {
		err = errOlderVersion
	}
	if err != nil {
		c.rejected = append([]byte{}, it.Value...) // not nil
		c.log.Rejected(it.Key, err)
		return nil, false
	}
	return t, true
}

// checkOverruledConfig logs the reason why the store's configuration is rejected, if the feed holds another one in its place.
func (c *catalog) checkOverruledConfig() {
	it, ok := c.documents.Config(c.feed)
	if !ok {
		return
	}
	overruled, ok := c.feed.Overruled(it.Key)
	if !ok || c.overruled != nil && bytes.Equal(overruled.Value, c.overruled) {
		return
	}
	c.overruled = append([]byte{}, overruled.Value...) // not nil
	c.acceptConfig(overruled)
}

// allReplicas returns all replicas that have a usable entry.
func (c *catalog) allReplicas() iter.Seq[routing.Replica] { return maps.Values(c.replicas) }

// view builds a view from the documents. Replicas that announced their departure in a response
// are draining in the view, whatever their entries say.
func (c *catalog) view(departures *routing.Departures, now time.Time) *routing.View {
	v := &routing.View{
		Table: c.table, Position: c.feed.Position(), Pools: make(map[routing.ServiceName]*routing.Pool),
		Versions: c.versions.Only(now), VersionsSince: c.versions.Since(), NewVersions: c.versions.New(),
	}
	for name, list := range c.lists {
		if c.isService(name) {
			v.Pools[name] = c.pool(name, list.Pool(), departures, now)
		}
	}
	return v
}

// pool returns the pool of a service: the replicas of the entries, adjusted for expired entries,
// departures and evacuated failure domains. It returns entries itself if there is nothing to
// adjust.
func (c *catalog) pool(name routing.ServiceName, entries *routing.Pool, departures *routing.Departures, now time.Time) *routing.Pool {
	p := entries.Overlay()
	if restored := c.expired.Restore(name, p, now); len(restored) > 0 {
		c.log.ExpiredKept(name, len(restored), len(entries.Ready))
	}
	leaves := departures.Apply(p)
	isEvacuated := c.evacuations.Apply(p, c.coldStart(name))
	if !leaves && !isEvacuated && len(p.Expired) == 0 {
		return entries
	}
	p.Sort()
	return p
}

// isService reports whether the active configuration defines a service. Entries of an unknown
// service are kept, and used once a configuration defines it.
func (c *catalog) isService(name routing.ServiceName) bool {
	if c.table == nil {
		return true
	}
	_, ok := c.table.Service(name)
	return ok
}

// coldStart returns how long replicas of a service are cold after they start.
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

// list returns the replica list of a service, creating it if needed.
func (c *catalog) list(name routing.ServiceName) *routing.ReplicaList {
	l := c.lists[name]
	if l == nil {
		l = routing.NewReplicaList()
		c.lists[name] = l
	}
	return l
}

// respond returns the response to a peer's request for documents.
func (c *catalog) respond(q *documentsRequest) documentsResponse {
	at := c.feed.Position()
	if q.knowsEras && at.Era < q.after.Era {
		return documentsResponse{documents: gossip.Documents{Items: c.feed.Retained(), Era: at.Era, Revision: at.Revision}}
	}
	after := q.after.Revision
	if q.knowsEras && q.after.Era != at.Era {
		after = 0 // revisions of different eras can't be compared
	}
	if after == 0 && !q.acceptsDigest {
		return documentsResponse{snapshot: c.fullSnapshot()}
	}
	items, whole := c.feed.SinceWith(after, q.parts)
	switch {
	case whole && q.acceptsDigest:
		d := c.feed.Digest(!q.knowsEras || q.after.Era == at.Era)
		return documentsResponse{digest: &d}
	case whole:
		return documentsResponse{snapshot: c.fullSnapshot()}
	}
	return documentsResponse{documents: gossip.Documents{Items: items, Era: at.Era, Revision: at.Revision}}
}

// fullSnapshot returns all documents. They are encoded when the first peer is sent them.
func (c *catalog) fullSnapshot() *encodedSnapshot {
	at := c.feed.Position()
	if c.snapshot == nil || c.snapshot.at != at {
		items, _ := c.feed.Since(0)
		c.snapshot = &encodedSnapshot{at: at, documents: gossip.Documents{Items: items, Era: at.Era, Revision: at.Revision, Whole: true}}
	}
	return c.snapshot
}
