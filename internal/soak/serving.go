// This file simulates a daemon that was cut off by links that refuse connections: it assumed that
// replicas had crashed, and reports so to the others when it can reach them again, although the
// replicas are live. It also checks that a daemon does not keep refusing what a live replica could
// serve.

package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// Parameters of false crash reports.
const (
	// crashReportInterval is the interval at which they are sent again, as daemons do.
	crashReportInterval = 200 * time.Millisecond
	// maxFalseCrashAge limits the age of a crash when it is first reported.
	maxFalseCrashAge = 5 * time.Second
)

// drawFalseCrashes adds the faults of daemons that send false crash reports, from a random source of
// their own.
func (p *Plan) drawFalseCrashes(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, 7))
	for range int(math.Ceil(s.FalseCrashesPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = falseCrashes
		p.Faults = append(p.Faults, f)
	}
}

// sendFalseCrashReports reports to all daemons for a while that all replicas of a service crashed a moment
// ago, each during a different request.
func (s *injector) sendFalseCrashReports(f *Fault) {
	_, first := s.pickPlace(f.Target)
	at := time.Now().Add(-time.Duration(f.Variant%1000) * maxFalseCrashAge / 1000)
	reports := s.falseCrashReports(first.Service, f.Variant)
	for end := time.Now().Add(f.For); time.Now().Before(end) && s.ctx.Err() == nil; pause(s.ctx, crashReportInterval) {
		for i := range reports {
			reports[i].Age = time.Since(at)
		}
		payload, err := gossip.EncodeCrashes(reports)
		if err != nil {
			s.logf("%s: %v", f.Kind, err)
			return
		}
		for _, d := range s.fleet.daemons {
			d.datagram(payload)
		}
	}
}

// falseCrashReports returns crash reports of the replicas of a service.
func (s *injector) falseCrashReports(service string, variant int) []routing.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []routing.CrashReport
	for i, p := range s.places {
		if r := p.current; !p.idle && r.Service == service && len(out) < gossip.MaxCrashes {
			known := routing.NewReplica(routing.Replica{ID: routing.ReplicaID(r.ID), StartTime: routing.StartTime(r.startTime.UnixMilli())})
			out = append(out, routing.CrashReport{Content: routing.ContentKey(1 + variant<<8 + i), Replica: known.LoadKey()})
		}
	}
	return out
}

// datagram sends a datagram to a daemon, as its peers do.
func (d *daemon) datagram(payload []byte) {
	conn, err := net.Dial("udp4", net.JoinHostPort(d.ip, itoa(d.fleet.ports[3])))
	if err != nil {
		return // the next one is sent soon
	}
	defer conn.Close()
	_, _ = conn.Write(payload) // the next one replaces a lost one
}

// noReplicaReasons are the reasons of refusals by a daemon that found no replica to send to.
var noReplicaReasons = []string{string(coordination.ReasonNoUpstream), string(coordination.ReasonCold), string(coordination.ReasonBackingOff)}

// withheldReasons are the reasons of refusals that follow from what operators and replicas allow a daemon, and
// not from whether it reaches them.
var withheldReasons = []string{string(coordination.ReasonEvacuated), string(coordination.ReasonCold), string(coordination.ReasonBackingOff)}

// checkServing reports daemons that were up to date and refused all requests for a service for too
// long because they found no replica, while one was live, undisturbed, warm and ready all the time.
func (j *checker) checkServing() {
	type key struct {
		by      processID
		service string
	}
	refused := make(map[key][]*record) // since the last response of another kind
	for _, r := range j.answeredInOrder() {
		service, ok := j.serviceOf(r)
		if !ok || j.runsPreviousBuild(r.by()) {
			continue
		}
		k := key{r.by(), service}
		if !slices.Contains(noReplicaReasons, r.answer.Reason) || len(r.arrivals) > 0 {
			delete(refused, k)
			continue
		}
		refused[k] = append(refused[k], r)
		first := refused[k][0].Sent
		if took := r.answer.At.Sub(first); took > j.bounds.MaxRefusal && j.upToDate(r.Daemon, first, r.answer.At) && j.hasUsableReplica(service, first, r.answer.At) {
			j.out = append(j.out, Violation{
				Promise: "SERVES", Subject: fmt.Sprintf("%s at daemon %d, %v", service, r.Daemon, first.UnixMilli()), At: r.answer.At,
				Detail: fmt.Sprintf("daemon %d refused %d requests in %v because it found no replica (%s), although one is live", r.Daemon, len(refused[k]), took, r.answer.Reason),
			})
		}
	}
}

// answeredInOrder returns the requests that got a response, in the order of their responses.
func (j *checker) answeredInOrder() []*record {
	var out []*record
	for _, r := range j.order {
		if r.known && r.answer != nil && r.answer.Status != 0 {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *record) int { return a.answer.At.Compare(b.answer.At) })
	return out
}

// serviceOf returns the service that a request was for, or false if the route moved at about that
// time.
func (j *checker) serviceOf(r *record) (string, bool) {
	service := ""
	for _, c := range j.routes[r.Route.Name] {
		if !c.at.After(r.Sent) {
			service = c.service
		}
		if since := r.Sent.Sub(c.at); since > -j.bounds.Apply && since < j.bounds.Apply {
			return "", false
		}
	}
	return service, service != ""
}

// servicesAround returns the services that a request may have been for: while the route moves, those before and after.
func (j *checker) servicesAround(r *record) []string {
	var out []string
	for _, c := range j.routes[r.Route.Name] {
		if !c.at.After(r.Sent.Add(-j.bounds.Apply)) {
			out = nil // all daemons know this change
		}
		if c.at.Before(r.Sent.Add(j.bounds.Apply)) {
			out = append(out, c.service)
		}
	}
	return out
}

// hasUsableReplica reports whether a replica of a service was usable throughout a period.
func (j *checker) hasUsableReplica(service string, from, to time.Time) bool {
	return j.usableReplicas(service, from, to) > 0
}

// usableReplicas returns how many replicas of a service were usable throughout a period.
func (j *checker) usableReplicas(service string, from, to time.Time) int {
	return j.countUsable(service, from, to, func(string) bool { return true })
}

// countUsable returns how many replicas of a service that meet a condition were usable throughout a period.
func (j *checker) countUsable(service string, from, to time.Time, condition func(replica string) bool) int {
	n := 0
	for replica, joined := range j.joined[service] {
		before := from.Add(-j.bounds.SyncTime)
		well := noneOverlaps(j.replicas[replica], before, to) && noneOverlaps(j.setAside[replica], before, to) && noneOverlaps(j.departures[replica], before, to)
		if condition(replica) && well && joined.Before(before) && !j.isIneligible(replica, from) && !j.isIneligible(replica, to) {
			n++
		}
	}
	return n
}
