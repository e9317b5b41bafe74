package routes

import (
	"context"
	"strconv"
	"strings"
	"testing"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// writtenDocuments reads configurations whose version is their text, and replicas that say "draining"
// or "ready".
type writtenDocuments struct{ fewDocuments }

func (writtenDocuments) ParseConfig(it feed.Item) (*routing.Table, error) {
	v, err := strconv.Atoi(string(it.Value))
	if err != nil {
		return nil, err
	}
	return routing.NewTable(&routing.Config{Version: routing.ConfigVersion(v), Services: []routing.Service{{Name: "s"}}})
}

func (writtenDocuments) ParseReplica(it feed.Item) (routing.Replica, error) {
	return routing.NewReplica(routing.Replica{
		ID: routing.ReplicaID(it.Key), Service: "s", Draining: strings.HasPrefix(string(it.Value), "draining"),
	}), nil
}

// config and replica are documents as the store holds them.
func config(version int, at feed.Revision) feed.Item {
	return feed.Item{Key: "config", Value: []byte(strconv.Itoa(version)), Revision: at}
}

func replica(id int, state string, at feed.Revision) feed.Item {
	return feed.Item{Key: "replica-" + strconv.Itoa(id), Value: []byte(state), Revision: at}
}

// newRestoredPair returns a daemon that reads the store and one that asks it, both at revision 29 of
// the store's first era.
func newRestoredPair(t *testing.T) *syncedPair {
	p := newSyncedPair(t)
	for _, c := range []*control{p.daemon, p.peer} {
		c.catalog.documents = writtenDocuments{}
	}
	for _, c := range []*control{p.daemon, p.peer} {
		c.handle(context.Background(), storeListed{
			items: []feed.Item{config(23, 29), replica(1, "ready", 3), replica(2, "ready", 4)}, at: feed.Position{Era: 1, Revision: 29},
		}, p.now)
	}
	return p
}

// list has the peer read a list of the store.
func (p *syncedPair) list(era feed.Era, at feed.Revision, items ...feed.Item) {
	p.peer.handle(context.Background(), storeListed{items: items, at: feed.Position{Era: era, Revision: at}}, p.now)
}

// watch has the peer read a change.
func (p *syncedPair) watch(era feed.Era, it feed.Item) {
	p.peer.handle(context.Background(), storeChanged{feed.Changes{Items: []feed.Item{it}, At: feed.Position{Era: era, Revision: it.Revision}}}, p.now)
}

// TestAChangeWhoseRevisionIsGivenOutAgainIsInForceEverywhere guards against refusing a confirmed route,
// and sending to a leaving replica, after the store came back from a copy with lower revisions.
func TestAChangeWhoseRevisionIsGivenOutAgainIsInForceEverywhere(t *testing.T) {
	p := newRestoredPair(t)
	p.list(2, 26, config(20, 25), replica(1, "ready", 3), replica(2, "ready", 4))
	p.watch(2, replica(2, "draining", 27))
	p.watch(2, config(25, 28))
	p.hear()
	for name, c := range map[string]*control{"the reader": p.peer, "its peer": p.daemon} {
		v := c.view.Load()
		if got := v.Table.Version; got != 25 {
			t.Errorf("%s goes by configuration %d, want 25", name, got)
		}
		if got := len(v.Pool("s").Ready); got != 1 {
			t.Errorf("%s has %d ready replicas, want 1: one leaves", name, got)
		}
	}
}
