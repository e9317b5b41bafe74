// This file is the process of one replica.

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Headers of the protocol.
const (
	headerID       = "Attempt-Id"
	headerExpect   = "Expect-Replica"
	headerDeadline = "Deadline-Ms"
	headerLast     = "Last-Event-Id"
	headerResumes  = "Resumes"
	headerSeal     = "Replica-Seal"
	headerNotRun   = "Not-Executed"
	headerPrompt   = "Prompt-Prefix"
	headerLeaving  = "Server-Leaving"
)

// work is the body of a request: what the replica does for it.
type work struct {
	Events   int    `json:"events,omitempty"`   // of a stream; 0: the response is plain
	GapMS    int    `json:"gap_ms,omitempty"`   // between events, or pieces of a plain response
	Pieces   int    `json:"pieces,omitempty"`   // of a plain response
	Unframed bool   `json:"unframed,omitempty"` // the response has neither a length nor chunks
	Poison   bool   `json:"poison,omitempty"`   // it crashes each replica that begins to run it
	Text     string `json:"text,omitempty"`     // of the prompt, which differs
}

// poisonPart begins the id of a part of prompts that crashes each replica that begins to write an answer on it.
const poisonPart = "bad"

// hasPoisonPart reports whether a prompt has such a part, which is never the last.
func hasPoisonPart(prompt string) bool {
	parts := strings.Split(prompt, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, poisonPart) })
}

// poisonTime is how long a replica runs a request that crashes it.
const poisonTime = 30 * time.Millisecond

// pieceText is a piece of a plain response.
var pieceText = strings.Repeat("0123456789abcdef", 64) + "\n"

// body returns the whole plain response to a request.
func (w work) body(id string) string {
	return "id=" + id + "\n" + strings.Repeat(pieceText, w.Pieces)
}

// event returns an event of the stream of a request.
func event(n int, id, version string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of the stream of %s, version %s\n\n", n, n, id, version)
}

// replicaProcess is a replica.
type replicaProcess struct {
	id, version string
	leaving     atomic.Bool
	running     sync.WaitGroup
	slots       chan struct{} // taken while a plain request runs; nil: there is no limit
	waiting     atomic.Int32  // plain requests that run or wait for a slot
	queue       int           // of them at most beside those that run

	mu     sync.Mutex
	report net.Conn // to the driver
}

// say writes a line for the driver.
func (r *replicaProcess) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.report, format+"\n", args...)
}

// serveReplica is the process. SIGUSR1 says that it leaves, SIGTERM that it ends once it has no request.
func serveReplica(args []string) int {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	r := &replicaProcess{}
	address, driver := flags.String("address", "", ""), flags.String("report", "", "")
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.version, "version", "", "")
	slots := flags.Int("slots", 0, "")
	flags.IntVar(&r.queue, "queue", 0, "")
	if flags.Parse(args) != nil {
		return exitNotRun
	}
	var err error
	if r.report, err = net.Dial("tcp4", *driver); err != nil {
		return exitNotRun
	}
	_, _ = io.WriteString(r.report, r.id)
	if *slots > 0 {
		r.slots = make(chan struct{}, *slots)
	}
	listener, err := net.Listen("tcp4", *address)
	if err != nil {
		r.say("error %v", err)
		return exitNotRun
	}
	r.handleSignals()
	r.say("listening")
	for {
		c, err := listener.Accept()
		if err != nil {
			return exitNotRun
		}
		go r.serve(c)
	}
}

func (r *replicaProcess) handleSignals() {
	signals := make(chan os.Signal, 4)
	notify(signals, syscall.SIGUSR1, syscall.SIGTERM)
	go func() {
		for s := range signals {
			r.leaving.Store(true)
			if s == syscall.SIGTERM {
				r.running.Wait()
				os.Exit(0)
			}
		}
	}()
}

// serve serves the requests of a connection one after the other.
func (r *replicaProcess) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		gone := make(chan struct{})
		go func() {
			defer close(gone)
			_, _ = reader.Peek(1)
		}()
		r.running.Add(1)
		keep := r.respond(c, req, text, gone)
		r.running.Done()
		if !keep {
			return
		}
		<-gone // the next request has begun, or the connection has ended
	}
}

// respond runs a request. It returns whether the connection may be used again.
func (r *replicaProcess) respond(c net.Conn, req *http.Request, text []byte, gone <-chan struct{}) (keep bool) {
	id := req.Header.Get(headerID)
	own := headerID + ": " + id + "\r\n"
	if r.leaving.Load() {
		own += headerLeaving + ": 1\r\n"
	}
	if expected := req.Header.Get(headerExpect); expected != "" && expected != r.id {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+own+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	if req.URL.Path == "/healthz" {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nReplica-Id: "+r.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	var w work
	if err := json.Unmarshal(text, &w); err != nil {
		_, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n"+own+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if r.slots != nil && w.Events == 0 {
		defer r.waiting.Add(-1)
		if int(r.waiting.Add(1)) > cap(r.slots)+r.queue {
			r.say("rejects %s at %s", id, r.id)
			_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+own+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		select {
		case <-gone:
			return false
		case r.slots <- struct{}{}:
		}
		defer func() { <-r.slots }()
	}
	r.say("runs %s at %s path %s last %q", id, r.id, req.URL.Path, req.Header.Get(headerLast))
	own += headerSeal + ": " + r.id + "\r\n"
	switch {
	case w.Poison:
		time.Sleep(poisonTime)
		r.say("crashes on %s at %s", id, r.id)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	case w.Events > 0:
		if hasPoisonPart(req.Header.Get(headerPrompt)) {
			time.AfterFunc(poisonTime, func() {
				r.say("crashes on %s at %s", id, r.id)
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			})
		}
		return r.stream(c, w, id, own, req.Header.Get(headerLast), gone)
	}
	if !sleep(time.Duration(w.GapMS)*time.Millisecond, gone) {
		r.say("ends %s at %s: its connection is gone", id, r.id)
		return false
	}
	return r.plain(c, w, id, own, gone)
}

// plain sends a response that is no stream.
func (r *replicaProcess) plain(c net.Conn, w work, id, own string, gone <-chan struct{}) bool {
	length := ""
	if !w.Unframed {
		length = "Content-Length: " + strconv.Itoa(len(w.body(id))) + "\r\n"
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+own+length+"\r\n"+work{}.body(id)); err != nil {
		return false
	}
	for range w.Pieces {
		if _, err := io.WriteString(c, pieceText); err != nil || !sleep(time.Duration(w.GapMS)*time.Millisecond, gone) {
			r.say("ends %s at %s: its connection is gone", id, r.id)
			return false
		}
	}
	r.say("ends %s at %s: whole", id, r.id)
	return !w.Unframed
}

// stream sends the events of a stream after the last one that the caller has.
func (r *replicaProcess) stream(c net.Conn, w work, id, own, last string, gone <-chan struct{}) bool {
	from, _ := strconv.Atoi(last)
	head := "HTTP/1.1 200 OK\r\n" + own + "Content-Type: text/event-stream\r\n"
	if !w.Unframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	for n := from + 1; n <= w.Events; n++ {
		text := event(n, id, r.version)
		if !w.Unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil || !sleep(time.Duration(w.GapMS)*time.Millisecond, gone) {
			r.say("ends %s at %s: its connection is gone after event %d", id, r.id, n)
			return false
		}
	}
	r.say("ends %s at %s: whole", id, r.id)
	if w.Unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// sleep waits. It returns false if the connection was gone before.
func sleep(d time.Duration, gone <-chan struct{}) bool {
	select {
	case <-gone:
		return false
	case <-time.After(d):
		return true
	}
}
