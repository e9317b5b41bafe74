// This file decides how many connections this daemon may open to a replica.
//
// Inputs: the bound that the service publishes for one replica, from all daemons
// together, and the number of daemons in the view. The rule: an equal share of
// sharedConnections of the bound, and at least one. The rest is left to daemons
// that don't know all the others, whose shares are too large.

package routing

// sharedConnections is the part of a replica's connections that the daemons divide among them.
// It keeps the replicas' bound, beyond which they reset connections.
const sharedConnections = 0.9

// ConnectionLimit returns how many connections this daemon may have to one replica
// of a service; 0 is no bound.
func (v *View) ConnectionLimit(name ServiceName) int {
	if v.Table == nil {
		return 0
	}
	s, ok := v.Table.Service(name)
	if !ok || s.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(sharedConnections*float64(s.MaxConnections))/max(1, v.Daemons))
}
