// This file injects the faults of the daemon that coordinates the crowded service. It asks the daemons
// who that is, as operators do.

package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
)

const pathAdmission = "/admission"

// admissionStatus is what a daemon says of a service and one of its coordinators.
type admissionStatus struct {
	Service     string `json:"service"`
	Scope       string `json:"scope"` // empty: the whole service
	Coordinator string `json:"coordinator"`
	Alone       bool   `json:"alone"` // the daemon decides for itself
}

// coordinatorIn returns the address of the coordinator of a whole service according to a daemon's
// response. It returns false if the response names none.
func coordinatorIn(text []byte, service string) (address string, ok bool) {
	var status []admissionStatus
	if json.Unmarshal(text, &status) != nil {
		return "", false
	}
	for _, s := range status {
		if s.Service == service && s.Scope == "" && s.Coordinator != "" && !s.Alone {
			return s.Coordinator, true
		}
	}
	return "", false
}

// coordinator returns the daemon that most daemons take for the coordinator of the crowded service, or
// fallback if none names one.
func (s *injector) coordinator(fallback *daemon) *daemon {
	votes := make(map[string]int)
	client := &http.Client{Timeout: readyTimeout}
	for _, d := range s.fleet.daemons {
		if address, ok := d.coordinatorOf(client, serviceCrowded); ok {
			votes[address]++
		}
	}
	best := fallback
	for _, d := range s.fleet.daemons {
		if votes[d.peerAddress()] > votes[best.peerAddress()] {
			best = d
		}
	}
	return best
}

func (d *daemon) coordinatorOf(client *http.Client, service string) (address string, ok bool) {
	resp, err := client.Get("http://" + d.operators + pathAdmission)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return "", false
	}
	return coordinatorIn(text, service)
}

// injectCoordinator injects a fault into the coordinator of the crowded service.
func (s *injector) injectCoordinator(f *Fault) {
	d := s.coordinator(s.daemon(f))
	s.logf("%s is daemon %d", f.Kind, d.number)
	g := faultOf(f, d.number, slices.Index(s.domains, d.domain))
	s.inject(&g)
}

// faultOf returns the fault of a daemon, or of its domain, that a fault of the coordinator is.
func faultOf(f *Fault, number, domain int) Fault {
	g := *f
	switch f.Kind {
	case killCoordinator:
		g.Kind, g.Target = killDaemon, number
	case pauseCoordinator:
		g.Kind, g.Target = freezeDaemon, number
	case cutCoordinator:
		// Both directions.
		g.Kind, g.Target, g.Variant = cutDomain, domain, 0
	}
	return g
}
