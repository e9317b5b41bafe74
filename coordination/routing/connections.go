// The connection limit: how many connections this daemon may open to a replica.
//
// The inputs are the limit that the service publishes for one replica, from all daemons together,
// and the number of daemons in the view. Each daemon may open an equal share of sharedConnections
// of that limit, and at least one connection. The rest is headroom for daemons that don't know
// all the others and so compute shares that are too large.

package routing

// sharedConnections is the part of a replica's connection limit that the daemons divide among
// them. It keeps them below that limit, beyond which replicas reset connections.
const sharedConnections = 0.9

// ConnectionLimit returns how many connections this daemon may have to one replica of a service;
// 0 means that there is no limit.
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
