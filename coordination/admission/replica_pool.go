// Permits for single replicas. A coordinator of a whole service chooses the replica of each request, which it
// can't do for a service with a model, whose requests prefer the replicas that hold their prompts, nor within
// its control budget for a service of more than [MaxReplicas]. While the replicas of such a service are brittle,
// the daemon that has the request chooses the replica, and asks for a permit at it.
//
// The rule, where it differs from that of client.go:
//
//  1. The coordinator of a replica is the first live member by rendezvous hashing of the service's name and the
//     replica, so that the replicas of a service are spread over the daemons. It grants by the bounds of
//     strict.go.
//  2. If it is silent, the next member is asked at once. Failure domains have no coordinators of their own.
//  3. An ask that is not to wait has no time left until its deadline in messages. It is refused at once unless a
//     place is free, and its daemon tries another replica.

package admission

import (
	"strconv"
	"strings"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// replicaScopePrefix begins the scope of a single replica. No failure domain has such a name.
const replicaScopePrefix = "replica:"

// ReplicaScope returns the scope of a single replica.
func ReplicaScope(key routing.LoadKey) Scope {
	return Scope(replicaScopePrefix + strconv.FormatUint(uint64(key), 36))
}

// Replica returns the replica of a scope, and false if the scope is not that of a single one.
func (s Scope) Replica() (routing.LoadKey, bool) {
	text, ok := strings.CutPrefix(string(s), replicaScopePrefix)
	key, err := strconv.ParseUint(text, 36, 32)
	return routing.LoadKey(key), ok && err == nil
}

// pool is what a client asks permits for: all replicas of a service, or one of them.
type pool struct {
	service routing.ServiceName
	scope   Scope // empty, or that of a single replica
}

// servicePool returns the pool of all replicas of a service.
func servicePool(s routing.ServiceName) pool { return pool{service: s} }

// replicaPool returns the pool of one replica.
func replicaPool(s routing.ServiceName, key routing.LoadKey) pool {
	return pool{service: s, scope: ReplicaScope(key)}
}

// poolOf returns the pool that a message with a scope is about.
func poolOf(s routing.ServiceName, scope Scope) pool {
	if _, ok := scope.Replica(); ok {
		return pool{service: s, scope: scope}
	}
	return servicePool(s)
}

// isReplica reports whether the pool is a single replica.
func (p pool) isReplica() bool { return p.scope != "" }

// SetReplica sets a replica of a service for which permits are asked or granted by itself.
func (d *Daemon) SetReplica(s routing.ServiceName, r Replica) {
	c := d.pool(replicaPool(s, r.Key))
	c.replicas = []Replica{r}
}

// AskAt asks for a permit at one replica, which was set with [Daemon.SetReplica]. unpermitted is the number of
// this daemon's requests there without a permit. If the ask is not to wait, the decision may be [Full].
func (d *Daemon) AskAt(s routing.ServiceName, key routing.LoadKey, a Ask, mayWait bool, unpermitted uint16, now time.Time) {
	c := d.pool(replicaPool(s, key))
	c.unpermitted = nil
	if unpermitted > 0 {
		c.unpermitted = []routing.LoadCount{{Replica: key, Requests: unpermitted}}
	}
	c.ask(a, now)
	c.asks[len(c.asks)-1].mayNotWait = !mayWait
}

// WithdrawAt ends an ask for a permit at one replica that is not decided, because its caller has gone.
func (d *Daemon) WithdrawAt(s routing.ServiceName, key routing.LoadKey, id PermitID, now time.Time) {
	if c := d.clients[replicaPool(s, key)]; c != nil {
		c.withdraw(id, now)
	}
}

// FinishAt ends a permit at one replica.
func (d *Daemon) FinishAt(s routing.ServiceName, key routing.LoadKey, f Finished, now time.Time) {
	if c := d.clients[replicaPool(s, key)]; c != nil {
		c.finish(f, now)
	}
}

// Full is the decision on an ask that is not to wait, if no place is free. It is not sent in messages.
type Full struct{ ID PermitID }

func (Full) isDecision() {}

// Permit returns the id of the ask.
func (d Full) Permit() PermitID { return d.ID }

var _ Decision = Full{}

// chooseReplicaTarget returns the coordinator of a single replica, by rules 1 and 2.
func (c *client) chooseReplicaTarget(now time.Time) target {
	alone := target{address: c.d.self.Address, scope: c.scope, alone: true}
	if c.d.isSettling(now) {
		c.until = earliest(c.until, c.d.settled)
		return alone
	}
	if len(c.d.members) == 0 && c.d.daemons > 1 {
		return alone
	}
	first, highest := alone, uint64(0)
	if !c.d.self.Leaving {
		first, highest = target{address: c.d.self.Address, scope: c.scope}, coordination.Rank(c.hash, c.d.hash)
	}
	for i, m := range c.d.members {
		rank := coordination.Rank(c.hash, c.d.hashes[i])
		if rank < highest || len(c.silent) > 0 && c.silent[m.Address] != nil {
			continue
		}
		first, highest = target{address: m.Address, scope: c.scope}, rank
	}
	for a := range c.silent {
		if _, isMember := c.d.incarnations[a]; isMember && coordination.Rank(c.hash, coordination.Hash(string(a))) > highest {
			c.probes = append(c.probes, target{address: a, scope: c.scope})
		}
	}
	return first
}

// endWait decides an ask that is not to wait and that the coordinator has queued or refused, by rule 3. It
// reports whether the ask is one.
func (c *client) endWait(l *link, id PermitID, now time.Time) bool {
	i := c.indexOfAsk(id)
	if i < 0 || !c.asks[i].mayNotWait {
		return false
	}
	if l == c.current {
		a := c.removeAsk(id)
		c.reportDecision(a, Full{ID: id}, l, l.to.address, now)
	}
	return true
}

// replicaStatus returns the state of the services for whose single replicas this daemon asks, or grants, permits.
func (d *Daemon) replicaStatus(now time.Time) []ServiceStatus {
	byService := make(map[routing.ServiceName]*ServiceStatus)
	for p, c := range d.clients {
		if !p.isReplica() {
			continue
		}
		s := byService[p.service]
		if s == nil {
			s = &ServiceStatus{Service: p.service, AtReplicas: true}
			byService[p.service] = s
		}
		s.Waiting += len(c.asks)
		s.Held += len(c.held)
	}
	for _, g := range d.coordinators {
		s := byService[g.service]
		if _, ok := g.scope.Replica(); !ok || s == nil || !now.Before(g.received.Add(g.idleAfter())) {
			continue
		}
		if len(s.Coordinates) == 0 {
			s.Coordinates = []Status{{Service: g.service}}
		}
		s.Coordinates[0].add(g.Status(now))
	}
	out := make([]ServiceStatus, 0, len(byService))
	for _, s := range byService {
		out = append(out, *s)
	}
	return out
}

// dropUnused removes the client of a single replica that has nothing to do and no coordinator here.
func (d *Daemon) dropUnused(p pool) {
	c := d.clients[p]
	if c == nil || !p.isReplica() || c.active {
		return
	}
	for _, g := range d.coordinators {
		if poolOf(g.service, g.scope) == p {
			return
		}
	}
	delete(d.clients, p)
}
