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
	// UnknownKey means that no tenant holds the key.
	UnknownKey
)

// Admission is a request that was let in.
type Admission struct {
	Route  *Route
	Tenant *Tenant // nil if the route needs no key
}

// Admit finds the route of a request and the tenant of its key.
func (v *View) Admit(host, path, key string) (Admission, Denial) {
	if v == nil || v.Table == nil {
		return Admission{}, NoConfiguration
	}
	route, ok := v.Table.Match(host, path)
	if !ok {
		return Admission{}, NoRoute
	}
	a := Admission{Route: route}
	if tenant, ok := v.Table.Authenticate(key); ok {
		a.Tenant = tenant
	}
	if a.Tenant == nil && v.Table.NeedsKey() && !route.OpenToAll {
		return Admission{}, UnknownKey
	}
	return a, Admitted
}
