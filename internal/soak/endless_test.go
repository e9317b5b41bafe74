package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	// endlessMemoryMB is the memory of a daemon's VM at the users' site, and endlessKillMB the resident memory at which
	// the test kills its daemon, so that a failure does not take the machine's memory.
	endlessMemoryMB = 284
	endlessKillMB   = 1200
	// endlessOneIn is the share of requests to which the faulty replica responds without end, at the rate of
	// endlessPieceBytes each endlessPause: 256 MB a second. The users' replicas did the same.
	endlessOneIn      = 16
	endlessPieceBytes = 256 << 10
	endlessPause      = time.Millisecond
	endlessTimeout    = 3 * time.Second
	endlessDuration   = time.Second
	endlessMinServed  = 0.99
)

// endlessForm is a response without end: what is sent once, and then again and again until the daemon closes the
// connection.
type endlessForm struct {
	name   string
	stream bool
	begin  func(id, replica string) string
	piece  string
}

// openHead returns the head of a response without the empty line after it.
func openHead(id, replica string) string {
	head, _, _ := strings.Cut(standin.Response(http.StatusOK, id, replica, "", standin.SelfReport{}), "Content-Length")
	return head
}

func withFields(fields string) func(id, replica string) string {
	return func(id, replica string) string { return openHead(id, replica) + fields }
}

const chunkedFields = "Transfer-Encoding: chunked\r\n\r\n"

var endlessForms = []endlessForm{
	{"header line", false, withFields("Long: "), "x"},
	{"header lines", false, withFields(""), "A: b\r\n"},
	{"header lines of different names", false, withFields(""), ""},
	{"no header", false, func(string, string) string { return "" }, "\x00\xff"},
	{"interim responses", false, func(string, string) string { return "" }, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"response to an earlier request", false, func(_, replica string) string { return openHead("earlier", replica) + chunkedFields }, "4\r\nabcd\r\n"},
	{"rejection", false, func(id, _ string) string {
		head, _, _ := strings.Cut(standin.NotRun(id, standin.SelfReport{}), "Content-Length")
		return head + "\r\n"
	}, "x"},
	{"body", false, withFields("\r\n"), "x"},
	{"chunked body", false, withFields(chunkedFields), "4\r\nabcd\r\n"},
	{"chunk extension", false, withFields(chunkedFields + "1;"), "x"},
	{"chunk extensions", false, withFields(chunkedFields), "1;" + strings.Repeat("x", 100) + "\r\na\r\n"},
	{"trailer", false, withFields("Trailer: T\r\n" + chunkedFields + "0\r\nT: "), "x"},
	{"trailers", false, withFields(chunkedFields + "0\r\n"), "T: x\r\n"},
	{"event", true, withFields("Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\ndata: "), "x"},
	{"event of many lines", true, withFields("Content-Type: text/event-stream\r\n\r\n"), "data: x\n"},
	{"header line before a stream", true, withFields("Long: "), "x"},
}

// endlessPieces returns successive texts to send, of some endlessPieceBytes each.
func (f *endlessForm) pieces() func() []byte {
	if f.piece != "" {
		text := bytes.Repeat([]byte(f.piece), endlessPieceBytes/len(f.piece))
		return func() []byte { return text }
	}
	n := 0
	return func() []byte {
		var b bytes.Buffer
		for ; b.Len() < endlessPieceBytes; n++ {
			b.WriteString("N" + strconv.Itoa(n) + ": \r\n")
		}
		return b.Bytes()
	}
}

// endlessReplica is a replica of which one request in oneIn gets a response without end; 0: none.
type endlessReplica struct {
	id       string
	listener net.Listener
	form     *endlessForm
	oneIn    int64
	requests atomic.Int64
	endless  atomic.Int64
}

func startEndlessReplica(t *testing.T, id string, form *endlessForm, oneIn int64) *endlessReplica {
	t.Helper()
	r := &endlessReplica{id: id, form: form, oneIn: oneIn}
	r.listener = listenAndServe(t, r.serve)
	return r
}

// listenAndServe opens a listener until the test's end, and serves each of its connections.
func listenAndServe(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

func (r *endlessReplica) serve(c net.Conn) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		head := standin.ReadRequest(req.Header)
		if r.oneIn > 0 && r.requests.Add(1)%r.oneIn == 0 {
			r.endless.Add(1)
			_, err = io.WriteString(c, r.form.begin(head.ID, r.id))
			for next := r.form.pieces(); err == nil; time.Sleep(endlessPause) {
				_, err = c.Write(next())
			}
			return
		}
		text := standin.Response(http.StatusOK, head.ID, r.id, "fine", standin.SelfReport{})
		if strings.HasPrefix(req.URL.Path, prefixReply) {
			text = standin.StreamHead(head.ID, r.id, standin.SelfReport{})
			for n := head.LastEventID + 1; n <= 3; n++ {
				e := fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
				text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
			}
			text += "0\r\n\r\n"
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// endlessDaemon is a daemon process whose resident memory is watched.
type endlessDaemon struct {
	callers   string
	addresses []string // for callers, readiness, operators and peers
	cmd       *exec.Cmd
	peakMB    atomic.Int64
}

func startEndlessDaemon(t *testing.T, binary, store string) *endlessDaemon {
	t.Helper()
	return startLimitedDaemon(t, binary, store, endlessMemoryMB, 0)
}

// startLimitedDaemon starts a daemon with an amount of memory and a number of descriptors; 0: as many as this process may open.
func startLimitedDaemon(t *testing.T, binary, store string, memoryMB, files int) *endlessDaemon {
	t.Helper()
	ports, err := freePorts(portsPerDaemon)
	if err != nil {
		t.Fatal(err)
	}
	at := func(i int) string { return "127.0.0.1:" + itoa(ports[i]) }
	d := &endlessDaemon{callers: at(0), addresses: []string{at(0), at(1), at(2), at(3)}}
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	settings := fmt.Sprintf("id: d0\ndomain: z\nlisten:\n  callers: %s\n  readiness: %s\n  operators: %s\n  peers: %s\nstore: %s\nrepeat:\n  ratio: 0.2\n  extra: 56\n  window: 10s\nmemory_mb: %d\n",
		at(0), at(1), at(2), at(3), store, memoryMB)
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	d.cmd = exec.Command(binary, "--front", "routes", "--settings", file)
	if files > 0 {
		d.cmd = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, itoa(files), binary, "--front", "routes", "--settings", file)
	}
	var log bytes.Buffer
	d.cmd.Stdout, d.cmd.Stderr = &log, &log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-ended
		if t.Failed() {
			text := log.String()
			t.Logf("end of the daemon's log: %s", text[max(0, len(text)-2000):])
		}
	})
	go func() { _ = d.cmd.Wait(); close(ended) }()
	go func() {
		for {
			d.peakMB.Store(max(d.peakMB.Load(), residentMB(d.cmd.Process.Pid)))
			if d.peakMB.Load() > endlessKillMB {
				_ = d.cmd.Process.Kill()
			}
			select {
			case <-ended:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	for range 200 {
		resp, err := http.Get("http://" + at(1) + pathReady)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return d
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("daemon is not ready")
	return nil
}

// residentMB returns the resident memory of a process, or 0 if it has ended.
func residentMB(pid int) int64 {
	text, _ := os.ReadFile("/proc/" + itoa(pid) + "/statm")
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}

// endlessOutcomes counts what callers saw.
type endlessOutcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *endlessOutcomes) add(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[what]++
}

// call sends a request and returns what its caller saw: "whole", a status, or "broken off".
func (d *endlessDaemon) call(id string, stream bool) string {
	r := standin.CallerRequest{Method: http.MethodGet, Target: prefixSafe + id, Host: routeHost, ID: id, Key: "k", Timeout: endlessTimeout}
	if stream {
		r.Method, r.Target, r.Body = http.MethodPost, prefixReply+id, "x"
	}
	c, err := net.Dial("tcp4", d.callers)
	if err != nil {
		return "refused connection"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * endlessTimeout))
	if _, err := io.WriteString(c, r.Text()); err != nil {
		return "closed"
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed"
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "broken off"
	case resp.StatusCode != http.StatusOK:
		return strconv.Itoa(resp.StatusCode)
	case stream && strings.Count(string(body), "\n\n") == 3, !stream && string(body) == "fine":
		return "whole"
	}
	return "wrong body"
}

// load sends requests for endlessDuration and returns what the callers saw.
func (d *endlessDaemon) load(callers int, pause time.Duration, stream bool) *endlessOutcomes {
	o := &endlessOutcomes{counts: make(map[string]int)}
	until := time.Now().Add(endlessDuration)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				o.add(d.call(fmt.Sprintf("%d-%d", i, n), stream))
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return o
}

// endlessLoad is a number of replicas, one of which is faulty, and the requests that callers send.
type endlessLoad struct {
	replicas int
	oneIn    int64 // of the requests to the faulty replica gets a response without end
	callers  int
	pause    time.Duration // of a caller, between two requests
}

// endlessFleet is one daemon with replicas of which one responds without end.
type endlessFleet struct {
	load   endlessLoad
	form   *endlessForm
	faulty *endlessReplica
	daemon *endlessDaemon
}

// endlessConfig returns the configuration of a store: a route whose responses have a length, and one of streams.
func endlessConfig() *standin.Config {
	route := func(name, prefix string) standin.Route {
		return standin.Route{
			Name: name, Host: routeHost, Prefix: prefix, TimeoutMS: endlessTimeout.Milliseconds(),
			FirstByteMS: firstByteTargetMS, EventMS: eventTargetMS, Service: serviceGate, Attempts: 2,
		}
	}
	safe, reply := route("safe", prefixSafe), route("reply", prefixReply)
	safe.Kind = standin.KindIdempotent
	reply.Kind, reply.Resumable = standin.KindStream, true
	return &standin.Config{
		Version: 1, Services: []standin.Service{{Name: serviceGate}},
		Workspaces: []standin.Workspace{{Name: "w", Keys: []string{"k"}}}, Routes: []standin.Route{safe, reply},
	}
}

func startEndlessFleet(t *testing.T, binary string, load endlessLoad, form *endlessForm) *endlessFleet {
	t.Helper()
	store := standin.NewStore(50)
	endpoint, err := store.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	store.PutConfig(endlessConfig())
	f := &endlessFleet{load: load, form: form, faulty: startEndlessReplica(t, "r0", form, load.oneIn)}
	replicas := []*endlessReplica{f.faulty}
	for n := 1; n < load.replicas; n++ {
		replicas = append(replicas, startEndlessReplica(t, "r"+itoa(n), form, 0))
	}
	for _, r := range replicas {
		store.PutReplica(standin.Replica{ID: r.id, Service: serviceGate, Address: r.listener.Addr().String(), Domain: "z", Slots: 64, StartTime: time.Now().UnixMilli()})
	}
	f.daemon = startEndlessDaemon(t, binary, endpoint.Address())
	return f
}

// play sends the load and checks what the callers saw and what the daemon held.
func (f *endlessFleet) play(t *testing.T) {
	d := f.daemon
	o := d.load(f.load.callers, f.load.pause, f.form.stream)
	total := 0
	for _, n := range o.counts {
		total += n
	}
	t.Logf("%d MB resident at most; %d requests, %d of them met a response without end; %v", d.peakMB.Load(), total, f.faulty.endless.Load(), o.counts)
	if peak := d.peakMB.Load(); peak > endlessMemoryMB {
		t.Errorf("the daemon held %d MB, of %d", peak, endlessMemoryMB)
	}
	if f.faulty.endless.Load() == 0 {
		t.Error("no request met a response without end")
	}
	if d.call("after", f.form.stream) == "refused connection" {
		t.Error("the daemon has ended")
	}
	if f.load.replicas > 1 && float64(o.counts["whole"]) < endlessMinServed*float64(total) {
		t.Errorf("%d of %d requests were served", o.counts["whole"], total)
	}
	for _, what := range []string{"wrong body", "closed"} {
		if o.counts[what] > 0 {
			t.Errorf("%d requests: %s", o.counts[what], what)
		}
	}
	if f.load.replicas == 1 && o.counts["whole"] > 0 {
		t.Errorf("%d responses without end count as whole", o.counts["whole"])
	}
}

// TestResponsesWithoutEnd guards against a replica whose response never ends and fills the memory of the daemon until
// it is killed, which breaks off all its requests: one of seven replicas that sent one endless header line to one
// request in 16 took 2,610 MB of a daemon. Once the replica is one of seven, and once all requests go to it at the
// same time, which no ejection can prevent.
func TestResponsesWithoutEnd(t *testing.T) {
	binary := buildOwnDaemon(t)
	t.Run("one of seven replicas", func(t *testing.T) {
		load := endlessLoad{replicas: 7, oneIn: endlessOneIn, callers: 12, pause: 10 * time.Millisecond}
		fleets := make([]*endlessFleet, len(endlessForms))
		for i := range endlessForms {
			fleets[i] = startEndlessFleet(t, binary, load, &endlessForms[i])
		}
		for _, f := range fleets {
			t.Run(f.form.name, f.play)
		}
	})
	t.Run("all requests at once", func(t *testing.T) {
		load := endlessLoad{replicas: 1, oneIn: 1, callers: 48}
		for i := range endlessForms {
			t.Run(endlessForms[i].name, func(t *testing.T) {
				startEndlessFleet(t, binary, load, &endlessForms[i]).play(t)
			})
		}
	})
}
