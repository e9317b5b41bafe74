// This file decides whether a caller's request is let in, and on which route.
//
// Inputs: host and path as the caller wrote them, and its key. The rule:
//
//  1. Without a configuration nothing is judged: a daemon that has just started
//     can't tell an unknown key from one that it does not know yet. Requests
//     wait for the first configuration for [StartWait], and are refused then.
//  2. The host's route with the longest prefix of the path takes the request.
//  3. A key that a workspace holds admits it in that workspace's name.
//  4. Without such a key it is admitted only if the route is public or the
//     configuration has no workspaces.
//
// There are no shares, queues or rates: the replicas' slots were never the limit in
// any run.

package routing

import "time"

const (
	// startPeriod is the time after a daemon's start within which its first
	// configuration is expected. It was in force 0.13 to 0.19 s after a start of 87
	// daemons, and 0.64 s with 1,800 routes; after this time the store and all peers
	// are away, and how long for is not known.
	startPeriod = 2 * time.Second
	// startWaitShare is the part of a caller's time that may be spent on waiting: the
	// rest is for its request. A quarter serves as many in a fleet of 8, whose daemons
	// have their configuration sooner than that.
	startWaitShare = 0.5
)

// StartWait returns how long a request may wait for the first configuration. left is
// the time that its caller waits, sinceStart the age of the daemon. A refusal in its
// place would come back to a daemon that is no further, and callers come back a few
// times only.
func StartWait(left, sinceStart time.Duration) time.Duration {
	return max(0, min(startPeriod-sinceStart, time.Duration(startWaitShare*float64(left))))
}

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
