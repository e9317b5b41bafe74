package relay_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination/routing"
)

// TestRequestThatCrashesReplicasStops is the incident of internal/soak's
// TestCrashingRequestsReachFewReplicas at one daemon: one content under ever new ids, each of
// which ends the replica that gets it. Nothing remembers it from one id to the next.
func TestRequestThatCrashesReplicasStops(t *testing.T) {
	const tries, allowed = 10, 6 // three ends, and three arrivals after them
	for name, route := range map[string]routing.Route{"may run more than once": repeatable, "runs once": once, "may go on elsewhere": resumable} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			var replicas []*replica
			for i := range 2 * tries {
				var r *replica
				r = startReplica(fmt.Sprint(i), func(a *arrival) bool {
					if string(a.body) != "crash" {
						return good(a)
					}
					if route.Kind == routing.Stream {
						streamHead(a)
						chunk(a, event(1))
					}
					return r.end()
				})
				t.Cleanup(func() { r.end() })
				replicas = append(replicas, r)
			}
			w := newWorld(route, replicas...)
			for i := range tries {
				w.serve(w.call(fmt.Sprint(i), "POST", "crash"))
			}
			arrived := 0
			for _, r := range replicas {
				arrived += r.count()
			}
			if arrived < 3 || arrived > allowed {
				t.Errorf("the request reached %d replicas in %d tries, want 3 to %d", arrived, tries, allowed)
			}
			to, _ := w.serve(w.call("other", "POST", "fine"))
			if to.status != 200 && route.Kind != routing.Stream {
				t.Errorf("another request got status %d and %#v, want 200", to.status, to.refusal)
			}
		})
	}
}
