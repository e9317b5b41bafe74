// This file decides whether a caller's request is let in, and on which route.

package routing

// Denial says why a request is not let in.
type Denial int

// The denials.
const (
	// Admitted is no denial.
	Admitted Denial = iota
	// NoConfiguration means that this daemon knows none yet; it can't tell what
	// is allowed.
	NoConfiguration
	// NoRoute means that no route has the host and path.
	NoRoute
	// UnknownKey means that no workspace holds the key.
	UnknownKey
)

// Admission is a request that was let in.
type Admission struct {
	Route     *Route
	Workspace *Workspace // nil if the route needs no key
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
	a := Admission{Route: route}
	if workspace, ok := v.Table.Authenticate(key); ok {
		a.Workspace = workspace
	}
	if a.Workspace == nil && v.Table.NeedsKey() && !route.OpenToAll {
		return Admission{}, UnknownKey
	}
	return a, Admitted
}
