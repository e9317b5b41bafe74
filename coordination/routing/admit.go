// This file decides whether a caller's request is let in, and on which route.
//
// Inputs: host and path as the caller wrote them, and its key. The rule:
//
//  1. Without a configuration nothing is judged: a daemon that has just started
//     can't tell an unknown key from one that it has not heard of yet.
//  2. The host's route with the longest prefix of the path takes the request.
//  3. A key that a workspace holds admits it in that workspace's name.
//  4. Without such a key it is admitted only if the route is public or the
//     configuration has no workspaces.
//
// There are no shares, queues or rates: on the days played the replicas' slots
// were never the limit (docs/design/users-platform.md, "Not proved").

package routing

// Denial says why a request is not let in.
type Denial int

// The denials.
const (
	// Admitted is no denial.
	Admitted Denial = iota
	// NoConfiguration means that this daemon knows none yet.
	NoConfiguration
	// NoRoute means that no route has the host and path.
	NoRoute
	// UnknownKey means that no workspace holds the key.
	UnknownKey
)

// Admission is a request that was let in.
type Admission struct {
	Route     *Route
	Workspace *Workspace // nil if the caller sent no known key
}

// Admit finds the route of a request and the workspace of its key.
func (v *View) Admit(host, path, key string) (Admission, Denial) {
	if v == nil || v.Table == nil {
		return Admission{}, NoConfiguration
	}
	route, ok := v.Table.Match(host, path)
	if !ok {
		return Admission{}, NoRoute
	}
	if w, ok := v.Table.Authenticate(key); ok {
		return Admission{Route: route, Workspace: w}, Admitted
	}
	if v.Table.NeedsKey() && !route.Public {
		return Admission{}, UnknownKey
	}
	return Admission{Route: route}, Admitted
}
