package routes_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/daemon/routes"
	"hingewinch.org/hingewinch/platform"
	"hingewinch.org/hingewinch/platform/standin"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/relay"
)

// buffer is a log output that can be read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// site is a store, replicas and daemons, each daemon on its own loopback address.
type site struct {
	store   *standin.Store
	network string // first three octets of all addresses
	daemons []*node
	version int
}

// node is one daemon.
type node struct {
	*routes.Daemon
	settings *routes.Settings
	endpoint *standin.StoreEndpoint
	log      *buffer
	stop     context.CancelFunc
	sent     atomic.Int64
	done     chan struct{} // closed when the daemon has stopped
	err      error
}

// panickingCodec is a Codec that panics for each request.
type panickingCodec struct{ platform.Codec }

func (panickingCodec) AppendRequest([]byte, *relay.Call, relay.RequestHead) []byte { panic("codec") }

// peersPort is the port of all daemons' peer listeners. It is below the ephemeral port range:
// a daemon's other listeners use ephemeral ports on the same address, and one of them could
// otherwise be assigned peersPort before the peer listener is opened.
const peersPort = 7340

func newSite() *site {
	// Each site uses its own loopback addresses, to avoid conflicts with other processes that
	// use the same port.
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	return &site{store: standin.NewStore(50), network: network}
}

func (s *site) configure(keys ...string) {
	s.version++
	quoted, _ := json.Marshal(keys)
	s.store.Put("op/config", []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"gate","max_attempts":2}],"services":[{"name":"gate"}],"tenants":[{"name":"t","api_keys":%s}]}`, s.version, quoted)))
}

// replica starts a replica and writes its entry to the store.
func (s *site) replica(id string, handle http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		if r.Header.Get("Expect-Replica") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Replica-Seal", id)
		handle(w, r)
	}))
	DeferCleanup(server.Close)
	s.announce(id, server, "ready")
	return server
}

func (s *site) announce(id string, server *httptest.Server, state string) {
	s.store.Put("servers/"+id, []byte(fmt.Sprintf(`{"service":"gate","address":%q,"zone":"z0","slots":6,"state":%q}`, server.Listener.Addr(), state)))
}

// start starts a daemon. seeds are the indexes of other daemons.
func (s *site) start(seeds ...int) *node { return s.startWhile(standin.StoreServes, seeds...) }

// startWhile starts a daemon whose store endpoint is in the given mode.
func (s *site) startWhile(m standin.StoreMode, seeds ...int) *node {
	i := len(s.daemons)
	endpoint, err := s.store.Open()
	Expect(err).NotTo(HaveOccurred())
	endpoint.SetMode(m)
	ip := fmt.Sprintf("%s.%d", s.network, 10+i)
	settings := &routes.Settings{
		ID: "d", Listen: routes.Listeners{Callers: ip + ":0", Readiness: ip + ":0", Operators: ip + ":0", Peers: fmt.Sprintf("%s:%d", ip, peersPort)},
		Store: endpoint.Address(), LogLevel: "info",
	}
	settings.Domain = "z0"
	settings.Stop.Grace = 2 * time.Second
	settings.Retry = routes.RetrySettings{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
	for _, seed := range seeds {
		settings.Seeds = append(settings.Seeds, fmt.Sprintf("%s.%d:1", s.network, 10+seed))
	}
	n := &node{settings: settings, endpoint: endpoint, log: &buffer{}}
	n.run()
	s.daemons = append(s.daemons, n)
	DeferCleanup(n.kill)
	return n
}

func (n *node) run() {
	d, err := routes.New(n.settings, routes.Platform{
		Store: platform.NewStore(n.endpoint.Address()), HistoryGone: platform.ErrHistoryGone, Documents: platform.Documents{},
		Codec: platform.Codec{}, ReadyPath: platform.PathReady,
		Front: func(d *routes.Daemon) http.Handler {
			return &platform.Front{View: d.ViewForCaller, Relay: d.Relay, Stopping: d.Stopping, Denied: d.Log.Denied, Panicked: d.Log.Panicked, Bodies: d.Bodies, Refused: d.Log.Refused}
		},
	}, n.log)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	n.Daemon, n.stop, n.done = d, cancel, make(chan struct{})
	go func(done chan struct{}) {
		n.err = d.Run(ctx)
		close(done)
	}(n.done)
}

func (n *node) kill() {
	n.stop()
	n.endpoint.Close()
	<-n.done
}

func (n *node) ready() bool {
	resp, err := http.Get("http://" + n.Address(routes.ReadinessListener) + platform.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == 200
}

// ask sends a query to the operators' listener and decodes the JSON response.
func (n *node) ask(path string, into any) {
	resp, err := http.Get("http://" + n.Address(routes.OperatorsListener) + path)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(into)
}

func (n *node) status() routes.StatusAnswer {
	var a routes.StatusAnswer
	n.ask(routes.PathStatus, &a)
	return a
}

// send sends a request and returns the status and the id of the replica that answered.
func (n *node) send(key string) (int, string) {
	r, _ := http.NewRequest("POST", "http://"+n.Address(routes.CallersListener)+"/p/x", strings.NewReader("body"))
	r.Host = "h.example"

	r.Header.Set("Attempt-Id", fmt.Sprintf("id%d", n.sent.Add(1)))
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Replica-Seal")
}

func (n *node) members() (list []routes.MemberAnswer) {
	n.ask(routes.PathMembers, &list)
	return list
}

func (n *node) held() (list []routes.HeldAnswer) {
	n.ask(routes.PathHeld, &list)
	return list
}

// release releases a quarantined content and returns the status of the command.
func (n *node) release(content string) int {
	resp, err := http.Post("http://"+n.Address(routes.OperatorsListener)+routes.PathRelease+"?content="+url.QueryEscape(content), "", nil)
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (n *node) statusForK1() int { s, _ := n.send("k1"); return s }

func respondOK(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "fine") }

var _ = Describe("Daemon", func() {
	var s *site
	BeforeEach(func() {
		s = newSite()
		s.configure("k1")
	})

	It("shares overloaded replicas between the request path and the control loop", func() {
		Expect(newSite().start().SharesOverloads()).To(BeTrue())
	})

	It("quarantines a content in the whole fleet after three replicas crashed while serving it, also in a daemon that starts later, until an operator releases it", func() {
		Expect(newSite().start().SharesCrashes()).To(BeTrue())
		var cured atomic.Bool
		for i := range 5 {
			var server *httptest.Server
			server = s.replica(fmt.Sprint("i", i), func(w http.ResponseWriter, r *http.Request) {
				if cured.Load() {
					respondOK(w, r)
					return
				}
				_ = server.Listener.Close()
				panic(http.ErrAbortHandler)
			})
		}
		a, b := s.start(1), s.start(0)
		Eventually(func() bool { return a.ready() && b.ready() }, 3*time.Second).Should(BeTrue())
		Eventually(func() int { return len(a.members()) }, 3*time.Second).Should(Equal(2))
		for i := 0; i < 40 && len(b.held()) == 0; i++ {
			a.send("k1")
			time.Sleep(20 * time.Millisecond)
		}
		Expect(b.held()).To(ConsistOf(And(HaveField("Workspace", routing.WorkspaceName("t")), HaveField("Replicas", HaveLen(3)))))
		Expect(b.statusForK1()).To(Equal(503))
		c := s.start(0)
		Eventually(c.ready, 3*time.Second).Should(BeTrue())
		Expect(c.statusForK1()).To(Equal(503))
		content := b.held()[0].Content
		cured.Store(true)
		Expect(b.release("none such!")).To(Equal(400))
		Expect(b.release("1")).To(Equal(404))
		Expect(b.release(content)).To(Equal(204))
		Eventually(a.statusForK1, 3*time.Second).Should(Equal(200))
		Eventually(c.statusForK1, 3*time.Second).Should(Equal(200))
	})

	It("serves once it has a configuration, and is not ready before", func() {
		s.replica("i1", respondOK)
		endpoint, err := s.store.Open()
		Expect(err).NotTo(HaveOccurred())
		endpoint.Close()
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		status, by := n.send("k1")
		Expect(status).To(Equal(200))
		Expect(by).To(Equal("i1"))
	})

	It("starts while the store is unreachable: not ready and 503, never 401 or 404; then learns from a peer", func() {
		s.replica("i1", respondOK)
		a := s.start()
		Eventually(a.ready, 3*time.Second).Should(BeTrue())
		b := s.start(0)
		b.endpoint.SetMode(standin.StoreSilent)
		Eventually(b.ready, 3*time.Second).Should(BeTrue())
		Expect(b.statusForK1()).To(Equal(200))
	})

	It("responds with 503 while it has no configuration", func() {
		n := s.startWhile(standin.StoreResets)
		Expect(n.ready()).To(BeFalse())
		Expect(n.statusForK1()).To(Equal(503))
	})

	It("lets callers wait for its first configuration", func() {
		s.replica("i1", respondOK)
		n := s.startWhile(standin.StoreBusy)
		status := make(chan int, 1)
		go func() { status <- n.statusForK1() }()
		Consistently(status, 200*time.Millisecond).ShouldNot(Receive())
		n.endpoint.SetMode(standin.StoreServes)
		Eventually(status, 3*time.Second).Should(Receive(Equal(200)))
	})

	DescribeTable("applies changes that another daemon reads while the store rejects it", func(mode standin.StoreMode) {
		server := s.replica("i1", respondOK)
		s.replica("i2", respondOK)
		a, b := s.start(), s.start(0)
		Eventually(func() int { return a.status().Daemons }, 3*time.Second).Should(Equal(2))
		Eventually(b.ready, 3*time.Second).Should(BeTrue())
		// The daemon that reads the store is rejected, and the other one learns of the change first.
		a.endpoint.SetMode(mode)
		s.configure("k2")
		s.announce("i1", server, "draining")
		for _, n := range []*node{a, b} {
			Eventually(n.statusForK1, 2*time.Second, 20*time.Millisecond).Should(Equal(401))
			for range 20 {
				status, by := n.send("k2")
				Expect(status).To(Equal(200))
				Expect(by).To(Equal("i2"))
			}
		}
	},
		Entry("busy", standin.StoreBusy), Entry("resets", standin.StoreResets), Entry("silent", standin.StoreSilent),
	)

	It("learns of changes that no watch returned, after the store's history is compacted", func() {
		s.replica("i1", respondOK)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		s.store.SilenceWatches()
		s.configure("k2")
		time.Sleep(100 * time.Millisecond)
		s.store.Compact()
		Eventually(n.statusForK1, 2*time.Second, 20*time.Millisecond).Should(Equal(401))
	})

	It("learns within a second of changes that no watch returned, in every daemon, also when the reader with short watches has just lost the store", func() {
		s.replica("i1", respondOK)
		a, b, c := s.start(), s.start(0), s.start(0)
		for _, n := range []*node{a, b, c} {
			Eventually(func() int { return n.status().Daemons }, 3*time.Second).Should(Equal(3))
			Eventually(n.ready, 3*time.Second).Should(BeTrue())
		}
		s.store.SilenceWatches()
		s.configure("k2")
		a.endpoint.SetMode(standin.StoreBusy) // a has the lowest address and therefore the short watches
		time.Sleep(100 * time.Millisecond)
		s.store.CompactSilently()
		begun := time.Now()
		for _, n := range []*node{a, b, c} {
			Eventually(n.statusForK1, 2*time.Second, 10*time.Millisecond).Should(Equal(401))
		}
		Expect(time.Since(begun)).To(BeNumerically("<", 1500*time.Millisecond))
	})

	It("learns within a second of changes that no watch returned, while its watch is silently cut off", func() {
		s.replica("i1", respondOK)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		time.Sleep(500 * time.Millisecond) // until the watch is waiting
		s.store.SilenceWatches()
		s.configure("k2")
		s.store.CompactSilently()
		begun := time.Now()
		Eventually(n.statusForK1, 6*time.Second, 10*time.Millisecond).Should(Equal(401))
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})

	It("makes few calls to the store while nothing changes", func() {
		a, b, c := s.start(), s.start(0), s.start(0)
		for _, n := range []*node{a, b, c} {
			Eventually(func() int { return n.status().Daemons }, 3*time.Second).Should(Equal(3))
		}
		time.Sleep(time.Second)
		before := s.store.Calls()
		time.Sleep(2 * time.Second)
		Expect(s.store.Calls() - before).To(BeNumerically("<=", 8))
	})

	It("never goes back to an older configuration", func() {
		s.replica("i1", respondOK)
		a := s.start()
		b := s.start(0)
		Eventually(b.ready, 3*time.Second).Should(BeTrue())
		s.configure("k2")
		Eventually(b.statusForK1, 2*time.Second).Should(Equal(401))
		Eventually(a.statusForK1, 2*time.Second).Should(Equal(401))
		// A peer that was cut off may still have only the old configuration.
		for range 20 {
			Expect(a.statusForK1()).To(Equal(401))
			Expect(b.statusForK1()).To(Equal(401))
			time.Sleep(10 * time.Millisecond)
		}
	})

	It("keeps the last valid configuration when a new one can't be parsed", func() {
		s.replica("i1", respondOK)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		s.store.Put("op/config", []byte("{"))
		Eventually(n.log.String, 2*time.Second).Should(ContainSubstring("is rejected"))
		s.store.Put("servers/i9", []byte(`{"service":"gate","address":"127.0.0.1:1","zone":"z0","slots":6,"state":"resting"}`))
		Eventually(n.log.String, 2*time.Second).Should(MatchRegexp(`"key":"servers/i9".*state ..resting.. is not known; it names no replica`))
		var list []routes.ReplicaAnswer
		n.ask(routes.PathReplicas, &list)
		Expect(list).To(ConsistOf(HaveField("State", "ready"), HaveField("State", "unusable")))
		Expect(n.statusForK1()).To(Equal(200))
	})

	// Guards against requests that waited in the sockets while the process was paused, and are sent to a failure domain that
	// was evacuated meanwhile, or with a key that was withdrawn, before the documents are read.
	It("reads the documents after a long pause before it sends requests", func() {
		var evacuated atomic.Int64
		s.replica("i1", func(w http.ResponseWriter, _ *http.Request) { evacuated.Add(1); fmt.Fprint(w, "x") })
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		Expect(n.statusForK1()).To(Equal(200))
		resume := n.PauseControl()
		s.store.Put("op/evacuate/z0", []byte("{}"))
		time.Sleep(coordination.LongPause + 100*time.Millisecond)
		before := evacuated.Load()
		statuses := make(chan int)
		for range 8 {
			go func() { statuses <- n.statusForK1() }()
		}
		time.Sleep(20 * time.Millisecond) // the requests are read before the documents
		resume()
		for range 8 {
			Expect(<-statuses).To(Equal(503))
		}
		Expect(evacuated.Load()).To(Equal(before), "requests at a replica of the evacuated domain")
	})

	It("continues with the known documents while the store is down", func() {
		s.replica("i1", respondOK)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		n.endpoint.SetMode(standin.StoreBusy)
		Eventually(func() bool { return n.status().StoreUnreachable }, 3*time.Second).Should(BeTrue())
		Expect(n.statusForK1()).To(Equal(200))
		n.endpoint.SetMode(standin.StoreServes)
		Eventually(func() bool { return n.status().StoreUnreachable }, 3*time.Second).Should(BeFalse())
	})

	It("keeps using replicas whose entries expire together during a store outage", func() {
		s.replica("i1", respondOK)
		s.replica("i2", respondOK)
		s.replica("i3", respondOK)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		n.endpoint.SetMode(standin.StoreBusy)
		Eventually(func() bool { return n.status().StoreUnreachable }, 3*time.Second).Should(BeTrue())
		for _, id := range []string{"i1", "i2", "i3"} {
			s.store.Delete("servers/" + id)
		}
		n.endpoint.SetMode(standin.StoreServes)
		Eventually(func() int { return n.status().Replicas }, 3*time.Second).Should(BeZero())
		Expect(n.statusForK1()).To(Equal(200))
		Eventually(n.log.String, time.Second).Should(ContainSubstring("keeping the replicas in use"))
	})

	It("stops using replicas whose entries are still missing two seconds after a store outage", func() {
		var ran atomic.Int64
		count := func(w http.ResponseWriter, _ *http.Request) { ran.Add(1); fmt.Fprint(w, "x") }
		s.replica("i1", count)
		s.replica("i2", count)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		n.endpoint.SetMode(standin.StoreBusy)
		Eventually(func() bool { return n.status().StoreUnreachable }, 3*time.Second).Should(BeTrue())
		s.store.Delete("servers/i1")
		s.store.Delete("servers/i2")
		n.endpoint.SetMode(standin.StoreServes)
		Eventually(func() int { return n.status().Replicas }, 3*time.Second).Should(BeZero())
		Expect(n.statusForK1()).To(Equal(200))
		Eventually(n.statusForK1, 3*time.Second, 100*time.Millisecond).Should(Equal(503))
		before := ran.Load()
		Consistently(n.statusForK1, 500*time.Millisecond, 100*time.Millisecond).Should(Equal(503))
		Expect(ran.Load()).To(Equal(before))
	})

	DescribeTable("sends nothing to replicas that are gone without draining, however many", func(pause time.Duration) {
		var left atomic.Bool
		late := atomic.Int64{}
		gone := func(w http.ResponseWriter, _ *http.Request) {
			if left.Load() {
				late.Add(1)
			}
			fmt.Fprint(w, "x")
		}
		s.replica("i1", gone)
		s.replica("i2", gone)
		s.replica("i3", gone)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		for i, id := range []string{"i1", "i2", "i3"} {
			s.replica(fmt.Sprintf("new%d", i), respondOK)
			s.store.Delete("servers/" + id)
			time.Sleep(pause)
		}
		s.store.Delete("servers/new0")
		s.store.Delete("servers/new1")
		Eventually(func() int { return n.status().Replicas }, 2*time.Second).Should(Equal(1))
		left.Store(true)
		for range 30 {
			Expect(n.statusForK1()).To(Equal(200))
		}
		Expect(late.Load()).To(BeZero())
	},
		Entry("one after the other", 300*time.Millisecond), Entry("together", time.Duration(0)),
	)

	It("sends nothing to an address that another service took over", func() {
		ran := 0
		server := s.replica("i1", func(w http.ResponseWriter, _ *http.Request) { ran++; fmt.Fprint(w, "x") })
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		// The entry now has an id that is not served at its address.
		s.store.Delete("servers/i1")
		s.announce("i9", server, "ready")
		Eventually(func() int { return n.status().Replicas }, 2*time.Second).Should(Equal(1))
		time.Sleep(50 * time.Millisecond)
		before := ran
		status, _ := n.send("k1")
		Expect(status).To(Equal(503))
		Expect(ran).To(Equal(before))
	})

	It("shuts down gracefully: not ready immediately, serves new and open requests, then exits", func() {
		release := make(chan struct{})
		finish := sync.OnceFunc(func() { close(release) })
		defer finish() // so that a spec that fails earlier does not hang on the replica
		s.replica("i1", func(w http.ResponseWriter, _ *http.Request) { <-release; fmt.Fprint(w, "late") })
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		answers := make(chan int, 2)
		go func() { answers <- n.statusForK1() }()
		time.Sleep(100 * time.Millisecond)
		n.stop()
		Eventually(n.ready, 500*time.Millisecond).Should(BeFalse())
		go func() { answers <- n.statusForK1() }()
		time.Sleep(300 * time.Millisecond)
		finish()
		Expect(<-answers).To(Equal(200))
		Expect(<-answers).To(Equal(200))
		<-n.done
		Expect(n.err).NotTo(HaveOccurred())
		Expect(n.log.String()).To(ContainSubstring("graceful shutdown started"))
	})

	It("exits within its grace period although a replica is silent", func() {
		s.replica("i1", func(http.ResponseWriter, *http.Request) { time.Sleep(3 * time.Second) })
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		go n.statusForK1()
		time.Sleep(50 * time.Millisecond)
		begun := time.Now()
		n.stop()
		<-n.done
		Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	})

	// endedWhileRunning starts a daemon, stops it while three requests of a route run, and returns it and their statuses.
	endedWhileRunning := func(route string, begin func(w http.ResponseWriter)) (*node, []int) {
		s.store.Put("op/config", []byte(`{"version":77,"routes":[`+route+`],"services":[{"name":"gate"}],"tenants":[{"name":"t","api_keys":["k1"]}]}`))
		running := make(chan struct{}, 3)
		s.replica("i1", func(w http.ResponseWriter, r *http.Request) {
			begin(w)
			running <- struct{}{}
			<-r.Context().Done()
		})
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		statuses := make(chan int, 3)
		for range 3 {
			go func() {
				status, _ := n.send("k1")
				statuses <- status
			}()
		}
		for range 3 {
			Eventually(running, 3*time.Second).Should(Receive())
		}
		n.stop()
		<-n.done
		return n, []int{<-statuses, <-statuses, <-statuses}
	}

	It("logs the requests that it breaks off at the end of its grace period", func() {
		// Guards against responses that end with the daemon and leave no line.
		n, _ := endedWhileRunning(`{"name":"r","host":"h.example","path_prefix":"/p/","kind":"streaming","timeout_ms":9000,"target_latency_ms":300,"service":"gate","max_attempts":1}`,
			func(w http.ResponseWriter) {
				w.Header().Set("Content-Type", "text/event-stream")
				fmt.Fprint(w, "id: 1\ndata: x\n\n")
				w.(http.Flusher).Flush()
			})
		for _, id := range []string{"id1", "id2", "id3"} {
			Expect(n.log.String()).To(MatchRegexp(`"request":"` + id + `".*"ended_by":"daemon".*"config":77,"config_at_end":77.*"message":"request: ended"`))
		}
		Expect(n.Metrics.BrokenOff.Count()).To(Equal(int64(3)))
		Expect(n.Metrics.BrokenOffAcrossConfigs.Count()).To(BeZero())
	})

	It("tells the callers of requests without a response at the end of its grace period that they may have run", func() {
		// Guards against connections that end without a response though the daemon knows that it ends.
		n, statuses := endedWhileRunning(`{"name":"r","host":"h.example","path_prefix":"/p/","kind":"non_idempotent","timeout_ms":9000,"target_latency_ms":300,"service":"gate","max_attempts":1}`,
			func(http.ResponseWriter) {})
		Expect(statuses).To(HaveEach(502))
		for _, id := range []string{"id1", "id2", "id3"} {
			Expect(n.log.String()).To(MatchRegexp(`"request":"` + id + `".*"outcome":"may-have-run","reason":"daemon_stops".*"config":77,"config_at_end":77.*"message":"request: ended"`))
		}
		Expect(n.Metrics.BrokenOff.Count()).To(BeZero())
	})

	It("restarts after a kill and learns what changed in the meantime", func() {
		s.replica("i1", respondOK)
		a, b := s.start(), s.start(0)
		Eventually(b.ready, 3*time.Second).Should(BeTrue())
		b.stop()
		<-b.done
		s.configure("k2")
		b.run()
		Eventually(b.ready, 3*time.Second).Should(BeTrue())
		Expect(b.statusForK1()).To(Equal(401))
		Eventually(func() int { return a.status().Daemons }, 4*time.Second).Should(Equal(2))
	})

	It("lets one daemon of a failure domain read the store, and another take over", func() {
		a, b := s.start(), s.start(0)
		Eventually(func() bool { return a.status().Daemons == 2 && b.status().Daemons == 2 }, 3*time.Second).Should(BeTrue())
		Eventually(func() bool { return a.status().ReadsStore != b.status().ReadsStore }, 2*time.Second).Should(BeTrue())
		reader, other := a, b
		if b.status().ReadsStore {
			reader, other = b, a
		}
		reader.stop()
		<-reader.done
		Eventually(func() bool { return other.status().ReadsStore }, 2*time.Second).Should(BeTrue())
	})

	It("logs a line for each request with its id, its replica and its outcome", func() {
		s.replica("i1", respondOK)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		n.send("k1")
		n.send("k9")
		Eventually(n.log.String, 2*time.Second).Should(And(
			MatchRegexp(`"request":"id1".*"outcome":"answered".*"status":200.*"attempts":\[{"replica":"i1"`),
			MatchRegexp(`"request":"id2".*"reason":"unknown_key"`),
			ContainSubstring("configuration is in force"),
		))
	})

	It("logs a request that panics: the panic, and the line of its end", func() {
		// Guards against a request that leaves no line because net/http recovers its panic.
		s.replica("i1", respondOK)
		n := s.start()
		Eventually(n.ready, 3*time.Second).Should(BeTrue())
		n.Relay.Codec = panickingCodec{}
		status, _ := n.send("k1")
		Expect(status).To(Equal(502))
		Eventually(n.log.String, 2*time.Second).Should(And(
			MatchRegexp(`"request":"id1","panic":"codec","stack":"goroutine .*"message":"request: panic`),
			MatchRegexp(`"request":"id1".*"outcome":"may-have-run","reason":"internal_error".*"replica":"i1".*"message":"request: ended"`),
		))
		Expect(n.Metrics.Panics.Count()).To(Equal(int64(1)))
	})

	It("shows operators its members, its replicas and why one is ejected, and the timeline", func() {
		server := s.replica("i1", respondOK)
		s.replica("i2", respondOK)
		a, b := s.start(), s.start(0)
		Eventually(b.ready, 3*time.Second).Should(BeTrue())
		Eventually(func() int { return b.status().Daemons }, 3*time.Second).Should(Equal(2))
		var members []routes.MemberAnswer
		b.ask(routes.PathMembers, &members)
		Expect(members).To(HaveLen(2))
		server.Close()
		var replicas []routes.ReplicaAnswer
		Eventually(func() []routes.ReplicaAnswer {
			b.send("k1")
			b.ask(routes.PathReplicas, &replicas)
			return replicas
		}, 3*time.Second).Should(ContainElement(SatisfyAll(
			HaveField("ID", BeEquivalentTo("i1")), HaveField("Ejected", true), HaveField("Why", "unreachable"))))
		var events []coordination.TimelineEvent
		a.ask(transport.PathTimeline, &events)
		Expect(events).To(ContainElement(HaveField("Kind", coordination.EventConfigApplied)))
	})

	It("serves metrics as text", func() {
		n := s.start()
		resp, err := http.Get("http://" + n.Address(routes.OperatorsListener) + routes.PathMetrics)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		Expect(string(b)).To(ContainSubstring("hingewinch_store_calls_total"))
	})
})
