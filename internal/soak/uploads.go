// This file lets callers send large bodies on a route of one attempt whose streams can't be resumed. Replicas begin to
// respond before they have read the body, and read the rest slowly through small buffers, so that the daemon's write waits
// for room while events flow. Faults reset the connections of such replicas, or end them in an ordinary way.

package soak

import (
	"bufio"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The kinds of faults that end connections of replicas of the service with streams.
const (
	resetUploads   faultKind = "reset_uploads"   // links or replicas reset their connections, and go on
	endInOrder     faultKind = "end_in_order"    // terminates, and the system ends its connections in an ordinary way
	killOfCarriers faultKind = "kill_of_carrier" // SIGKILL of a daemon, started again, while others have no links to replicas
)

// Random sources of these faults.
const (
	sourceResets  = 13
	sourceEnds    = 14
	sourceKillsOf = 15
)

const (
	routeUpload  = "upload"
	prefixUpload = "/upload/"
	uploadPrefix = "u" // of the ids of uploads
	uploadOneIn  = 2   // of the requests of ordinary callers, one is an upload

	uploadEvents    = 12
	uploadEventWork = 80 * time.Millisecond
	// A replica reads the first uploadPiece bytes of a body, nothing more for uploadHold, and then uploadPiece each
	// uploadPause. The system enlarges the send buffer of the other side as soon as bytes are read, so that a write of 140 KB waits
	// only while nothing is read.
	uploadHold  = 6 * uploadEventWork
	uploadPiece = 4000
	uploadPause = 20 * time.Millisecond

	minCarrierGap    = 2 * time.Second // between the starts of partitions beside which carriers are killed
	carrierPartition = 5 * time.Second // longer than the gap, so that they overlap
)

// uploadBodies are the sizes of the bodies, in bytes. The smaller one is that of the users' streams that were cut short; it
// fits into the send buffer of a new connection.
var uploadBodies = []int{24_000, 140_000}

// uploadRoute is only there in runs with uploads.
var uploadRoute = &Route{Name: routeUpload, Prefix: prefixUpload, Method: http.MethodPost, Stream: true, Attempts: 1, Timeout: 3 * time.Second}

// Uploads says what a run does with large bodies.
type Uploads struct {
	// ResetsPerSec is how often links or replicas reset connections on which bodies are read, EndsPerSec how often a replica
	// terminates and its connections end in an ordinary way, and CarrierKillsPerSec how often a daemon is killed
	// while others have no links to replicas.
	ResetsPerSec, EndsPerSec, CarrierKillsPerSec float64
}

// drawUploads adds the faults of uploads of a seed, from random sources of their own.
func (p *Plan) drawUploads(seed uint64, s Shape) {
	if s.Uploads == nil {
		return
	}
	p.Uploads = true
	for _, kind := range []struct {
		kind   faultKind
		source uint64
		perSec float64
	}{{resetUploads, sourceResets, s.Uploads.ResetsPerSec}, {endInOrder, sourceEnds, s.Uploads.EndsPerSec}, {killOfCarriers, sourceKillsOf, s.Uploads.CarrierKillsPerSec}} {
		rng := rand.New(rand.NewPCG(seed, kind.source))
		for range int(math.Ceil(kind.perSec * s.Trouble.Seconds())) {
			f := drawFault(rng, s.Trouble)
			f.Kind = kind.kind
			p.Faults = append(p.Faults, f)
		}
		if kind.kind == killOfCarriers && kind.perSec > 0 {
			p.drawOverlappingPartitions(rng, s.Trouble)
		}
	}
}

// drawOverlappingPartitions cuts up to all daemons but one off from all replicas, again and again.
func (p *Plan) drawOverlappingPartitions(rng *rand.Rand, trouble time.Duration) {
	for at := time.Duration(rng.Int64N(int64(minCarrierGap))); at < trouble; at += minCarrierGap + time.Duration(rng.Int64N(int64(minCarrierGap))) {
		order := rng.Perm(p.Daemons)
		p.Partitions = append(p.Partitions, Partition{
			At: at, For: carrierPartition, Mode: partitionModes[rng.IntN(len(partitionModes))], Daemons: order[:1+rng.IntN(max(1, p.Daemons/2))],
		})
	}
}

// setUploads adds the route of uploads.
func (s *site) setUploads() {
	s.uploads, s.services[routeUpload] = true, serviceChat
	s.ledger.RouteTo(routeUpload, serviceChat, time.Time{})
}

// asUpload makes a request an upload.
func (c *caller) asUpload(q Request) Request {
	q.ID, q.Route = uploadPrefix+strings.TrimPrefix(q.ID, "c"), uploadRoute
	q.Target = prefixUpload + q.ID
	q.Body = strings.Repeat("u", uploadBodies[rand.IntN(len(uploadBodies))])
	q.Subject = int(hashOf(q.Target) % chatTopics)
	return q
}

func isUpload(id string) bool { return strings.HasPrefix(id, uploadPrefix) }

// readSlowly reads the body of an upload in pieces, and then watches the connection.
func (x *exchange) readSlowly(body io.Reader, reader *bufio.Reader) {
	var text strings.Builder
	for {
		n, err := io.CopyN(&text, body, uploadPiece)
		if err != nil && !isEOF(err) {
			close(x.disconnected)
			return
		}
		if n < uploadPiece {
			break
		}
		wait := uploadPause
		if text.Len() == uploadPiece {
			wait = uploadHold
		}
		time.Sleep(wait)
	}
	x.body = text.String()
	close(x.bodyRead)
	if _, err := reader.Peek(1); err != nil {
		close(x.disconnected)
	}
}

// awaitBody waits until the body of an upload is read, since the system resets a connection that is closed before. It
// returns false if the daemon closed the connection first.
func (x *exchange) awaitBody() bool {
	if x.bodyRead == nil {
		return true
	}
	select {
	case <-x.bodyRead:
		x.ledger.BodyRead(x.run, x.body)
		return true
	case <-x.disconnected:
		return false
	}
}

// BodyRead records that a replica has read the body of a run.
func (l *Ledger) BodyRead(run *Run, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.Body, run.Unread = body, false
}

// pickStreaming returns a place of the service with streams that isn't idle, and its replica.
func (s *site) pickStreaming(draw int) (*place, *Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*place
	for _, p := range s.places {
		if !p.idle && p.current.Service == serviceChat {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return nil, nil
	}
	p := list[draw%len(list)]
	return p, p.current
}

// injectUploads injects a fault that ends connections of replicas of the service with streams.
func (s *injector) injectUploads(f *Fault) {
	switch f.Kind {
	case killOfCarriers:
		kill := *f
		kill.Kind = killDaemon
		s.injectProcess(&kill)
	case resetUploads:
		s.resetStreaming(f)
	case endInOrder:
		if p, r := s.pickStreaming(f.Target); p != nil {
			s.endReplica(p, r, max(f.For, expiryTime))
		}
	}
}

// resetStreaming resets the connections of up to maxGrey replicas: their links do, or they do themselves.
func (s *injector) resetStreaming(f *Fault) {
	var wg sync.WaitGroup
	for i := range 1 + f.Variant%maxGrey {
		p, r := s.pickStreaming(f.Target + i)
		if p == nil {
			continue
		}
		reset := p.link.resetConns
		if (f.Variant/maxGrey)%2 == 0 {
			reset = r.resetConns
		}
		wg.Go(func() { s.disturbReplica(r, reset) })
	}
	wg.Wait()
}

// endReplica terminates a replica as the end of its process does, and replaces it later. Connections to its place are
// refused meanwhile.
func (s *injector) endReplica(p *place, r *Replica, down time.Duration) {
	if !s.tryMarkIdle(p, r) {
		return
	}
	s.disturbReplica(r, func() {
		p.link.CloseListener()
		r.end()
		pause(s.ctx, down)
		s.deleteEntry(r)
	})
	if p.link.Reopen() == nil {
		_ = s.startNew(p, r.Service)
	}
}

// resetConns resets all connections. The replica goes on.
func (r *Replica) resetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.ReplicaTerminated(r.ID, time.Now())
	for c := range r.conns {
		resetConn(c.(*net.TCPConn))
	}
}

// end terminates the replica as the end of its process does: connections from which it has read everything end in an
// ordinary way, after a whole event, since it writes each event at once. The system resets the others.
func (r *Replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	if r.terminated {
		return
	}
	r.ledger.EndedInOrder(r.ID, time.Now())
	r.terminated = true
	for c := range r.conns {
		_ = c.Close()
	}
}

// EndedInOrder records that a replica is about to terminate, and that the system ends its connections.
func (l *Ledger) EndedInOrder(replica string, at time.Time) {
	l.ReplicaTerminated(replica, at)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orderlyEnds[replica] = append(l.orderlyEnds[replica], at)
}

// isUploadRequest reports whether the replica responds to a request before it has read its body.
func (r *Replica) isUploadRequest(req *http.Request) bool {
	return strings.HasPrefix(req.URL.Path, prefixUpload)
}
