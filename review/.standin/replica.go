package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// crashingPart is the part of prompts on which replicas crash.
const crashingPart = "dead01"

// Of a stream: the time to its first event, the time between two events, and their number.
const (
	prefill  = 40 * time.Millisecond
	eventGap = 60 * time.Millisecond
	events   = 9
)

// crashAfter is how long after it has begun to write an answer a replica crashes on a part.
const crashAfter = 10 * time.Millisecond

// replica is a sound replica: it keeps what PROTOCOL.md says of replicas.
type replica struct {
	id, service, zone string
	version           string        // of its software; empty: v1
	pieces            int           // events of a stream; 0: events
	gap               time.Duration // between two of them; 0: eventGap
	slots             int
	work              time.Duration // of a plain request
	record            *record
	listener          net.Listener
	mayRun            chan struct{} // its slots
	// crashed is called when a request has crashed the replica.
	crashed func(*replica)

	mu          sync.Mutex
	conns       map[net.Conn]bool
	ended       bool
	silentUntil time.Time
	flowing     map[string]int // streams that have begun and not ended, by the address that sent them
}

func startReplica(r *replica) (*replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.listener, r.conns, r.mayRun = l, make(map[net.Conn]bool), make(chan struct{}, r.slots)
	r.flowing = make(map[string]int)
	go r.accept()
	return r, nil
}

// entry returns the replica's entry in the store.
func (r *replica) entry(sequence int) []byte {
	text, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": cmp.Or(r.version, "v1"),
		"slots": r.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
	})
	return text
}

func ipOf(c net.Conn) string { return c.RemoteAddr().(*net.TCPAddr).IP.String() }

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func (r *replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		ended := r.ended
		r.conns[c] = true
		r.mu.Unlock()
		if ended {
			reset(c)
			return
		}
		go r.serve(c)
	}
}

// crash ends the replica as the end of its process would.
func (r *replica) crash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	_ = r.listener.Close()
	for c := range r.conns {
		reset(c)
	}
	return true
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		gone, watched := make(chan struct{}), make(chan struct{})
		go func() {
			if _, err := reader.Peek(1); err != nil {
				close(gone)
			}
			close(watched)
		}()
		if !r.answer(c, req, gone) {
			return
		}
		<-watched
	}
}

// answer answers one request. It returns false if the connection is to be closed.
func (r *replica) answer(c net.Conn, req *http.Request, gone chan struct{}) bool {
	id, from := req.Header.Get("Attempt-Id"), ipOf(c)
	if req.URL.Path == "/healthz" {
		return r.write(c, "HTTP/1.1 200 OK\r\nReplica-Id: "+r.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	head := "Attempt-Id: " + id + "\r\n"
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != r.id {
		return r.write(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Replica-Id: "+r.id+"\r\nContent-Length: 0\r\n\r\n")
	}
	if id == "" {
		return r.write(c, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	r.record.add("arrives", map[string]any{"id": id, "replica": r.id, "from": from})
	const full = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
	left, _ := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	select {
	case r.mayRun <- struct{}{}:
	case <-gone:
		return false
	case <-deadline.C:
		return r.write(c, full+head+"\r\n")
	}
	defer func() { <-r.mayRun }()
	r.record.add("runs", map[string]any{"id": id, "replica": r.id, "from": from})
	defer r.record.add("ended", map[string]any{"id": id, "replica": r.id})
	head += "Replica-Seal: " + r.id + "." + id + "\r\nReplica-Load: " + fmt.Sprintf("%d,0,%d\r\n", len(r.mayRun), r.slots)
	if prompt := req.Header.Get("Prompt-Prefix"); prompt != "" {
		return r.stream(c, req, head, strings.Contains(","+prompt, ","+crashingPart+":"), gone)
	}
	if !pause(r.work, gone) {
		return false
	}
	body := "done by " + r.id + " for " + id + "\n"
	return r.write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// stream answers with events.
func (r *replica) stream(c net.Conn, req *http.Request, head string, crashes bool, gone chan struct{}) bool {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	pieces, gap := cmp.Or(r.pieces, events), cmp.Or(r.gap, eventGap)
	if !pause(prefill, gone) {
		return false
	}
	if !r.write(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for n := last + 1; n <= pieces; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d by %s\n\n", n, n, pieces, cmp.Or(r.version, "v1"))
		if !r.write(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			return false
		}
		if n == last+1 {
			r.flows(c, 1)
			defer r.flows(c, -1)
		}
		if crashes {
			pause(crashAfter, nil)
			if r.crash() {
				r.crashed(r)
			}
			return false
		}
		if n < pieces && !pause(gap, gone) {
			return false
		}
	}
	return r.write(c, "0\r\n\r\n")
}

func (r *replica) flows(c net.Conn, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flowing[ipOf(c)] += n
}

// awaitStreams waits until the replica has n streams from an address, for most at the longest. It returns their
// number.
func (r *replica) awaitStreams(ip string, n int, most time.Duration) int {
	for until := time.Now().Add(most); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		got := r.flowing[ip]
		r.mu.Unlock()
		if got >= n || time.Now().After(until) {
			return got
		}
	}
}

// fallSilent makes the replica write nothing for a time. It goes on with everything afterwards.
func (r *replica) fallSilent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(d)
}

func (r *replica) write(c net.Conn, text string) bool {
	r.mu.Lock()
	silent := time.Until(r.silentUntil)
	r.mu.Unlock()
	time.Sleep(silent)
	_, err := io.WriteString(c, text)
	return err == nil
}

// pause waits for d. It returns false if the other side has closed the connection before.
func pause(d time.Duration, gone chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-gone:
		return false
	}
}
