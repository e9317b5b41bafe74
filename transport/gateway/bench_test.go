package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

// tokensEngine responds at once with n tokens. If n is 0, it sends one token and keeps
// the stream open until the caller disconnects.
func tokensEngine(n int) http.Handler {
	const token = `{"id":"c","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"word"}}]}`
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(protocol.HeaderStreamID, "s")
		out := http.NewResponseController(w)
		for i := range max(n, 1) {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, token)
			_ = out.Flush()
		}
		if n == 0 {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", n+1)
	})
}

// benchFixture returns a gateway in front of one engine, and the engine's own URL.
func benchFixture(b *testing.B, h http.Handler) (f *fixture, direct string) {
	f = newFixture(b, fixtureOptions{extra: []http.Handler{h}})
	f.engines[0].SetFaults(standin.Faults{Refuse: true})
	pool := f.snapshot.Model("m")
	for _, c := range pool.Candidates {
		if c.ID == "x0" {
			direct = "http://" + c.Address
			pool.Candidates[0] = c
			pool.Candidates = pool.Candidates[:1]
			break
		}
	}
	return f, direct
}

var benchBody = chatJSON(true, strings.Repeat("a line of a disputed ticket. ", 30))

func benchCall(client *http.Client, url string) (time.Duration, error) {
	begun := time.Now()
	req, _ := http.NewRequest(http.MethodPost, url+protocol.PathChat, bytes.NewReader(benchBody))
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return time.Since(begun), err
}

func quantile(d []time.Duration, q float64) float64 {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return float64(d[int(q*float64(len(d)-1))]) / float64(time.Microsecond)
}

// BenchmarkAddedLatency alternates requests to the engine with requests through the
// gateway, so that both are measured under the same load of the machine.
func BenchmarkAddedLatency(b *testing.B) {
	f, direct := benchFixture(b, tokensEngine(1))
	client := &http.Client{Transport: &http.Transport{}}
	var plain, through []time.Duration
	for range b.N {
		for range 2000 {
			d, err := benchCall(client, direct)
			t, err2 := benchCall(client, f.gateway.URL)
			if err != nil || err2 != nil {
				b.Fatal(err, err2)
			}
			plain, through = append(plain, d), append(through, t)
		}
	}
	b.ReportMetric(quantile(plain, 0.5), "µs-direct-p50")
	b.ReportMetric(quantile(through, 0.5)-quantile(plain, 0.5), "µs-added-p50")
	b.ReportMetric(quantile(through, 0.99)-quantile(plain, 0.99), "µs-added-p99")
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuOf returns the CPU time of n calls by 16 concurrent callers.
func cpuOf(b *testing.B, n int, url string) time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	begun := cpuTime()
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range n / 16 {
				if _, err := benchCall(client, url); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
	client.CloseIdleConnections()
	return cpuTime() - begun
}

// BenchmarkAddedCPU measures the CPU time of the same calls with and without the gateway.
// The difference is the gateway's, including the kernel time of its sockets.
func BenchmarkAddedCPU(b *testing.B) {
	for _, tokens := range []int{1, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			f, direct := benchFixture(b, tokensEngine(tokens))
			calls := 16000 / tokens
			calls = max(calls, 160)
			for range b.N {
				cpuOf(b, calls/4, f.gateway.URL)
				plain := cpuOf(b, calls, direct)
				through := cpuOf(b, calls, f.gateway.URL)
				per := (through - plain).Seconds() / float64(calls)
				b.ReportMetric(per*1e6, "µs-cpu/request")
				b.ReportMetric(1/per, "requests/core/s")
				b.ReportMetric(per*1e6/float64(tokens), "µs-cpu/token")
			}
		})
	}
}

// memoryInUse returns the memory of heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// openStreams opens n streams and returns the memory used per stream.
func openStreams(b *testing.B, n int, url string) float64 {
	client := &http.Client{Transport: &http.Transport{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := memoryInUse()
	bodies := make([]io.ReadCloser, 0, n)
	for range n {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+protocol.PathChat, bytes.NewReader(benchBody))
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = resp.Body.Read(make([]byte, 16))
		bodies = append(bodies, resp.Body)
	}
	used := memoryInUse() - before
	for _, body := range bodies {
		_ = body.Close()
	}
	return float64(used) / float64(n)
}

// BenchmarkStreamMemory measures the memory of open streams with and without the gateway
// between the same callers and engine.
func BenchmarkStreamMemory(b *testing.B) {
	f, direct := benchFixture(b, tokensEngine(0))
	// Warm-up: fills the pools and caches of the HTTP library.
	openStreams(b, 2000, f.gateway.URL)
	time.Sleep(time.Second)
	for range b.N {
		plain := openStreams(b, 2000, direct)
		time.Sleep(time.Second)
		through := openStreams(b, 2000, f.gateway.URL)
		time.Sleep(time.Second)
		b.ReportMetric(plain/1024, "KB/direct-stream")
		b.ReportMetric((through-plain)/1024, "KB/stream")
	}
}

// BenchmarkRefusal measures the refusal of a request without a candidate engine, which
// needs no connection.
func BenchmarkRefusal(b *testing.B) {
	f := newFixture(b, fixtureOptions{})
	f.snapshot.Model("m").Candidates = nil
	w := httptest.NewRecorder()
	for range b.N {
		req := httptest.NewRequest(http.MethodPost, protocol.PathChat, bytes.NewReader(benchBody))
		req.Header.Set("Authorization", "Bearer "+testKey)
		f.handler.ServeHTTP(w, req)
	}
}

// BenchmarkExchange measures one gossip exchange between two daemons: bytes including HTTP
// framing, and CPU time of both sides.
func BenchmarkExchange(b *testing.B) {
	rec, m := transport.NewRecorder("d0", nil), gateway.NewMetrics()
	defer m.Close()
	meter := &gateway.Meter{Sent: m.ControlSent, Read: m.ControlRead}
	peers := gateway.NewPeers(nil, meter, rec, m, nil)
	gossip := fleet.Gossip{Sender: "gj-ahd-a-0007", Incarnation: 1 << 60, Domain: "ahd-a", Address: "10.0.1.11:8081", ListAge: time.Second}
	gossip.Config.Version, gossip.List.Version = 5000, 9000
	server := &gateway.PeerServer{Recorder: rec, HandleExchange: func(context.Context, fleet.Gossip) (fleet.Gossip, error) { return gossip, nil }}
	srv := httptest.NewServer(server.Handler())
	defer srv.Close()
	begun := cpuTime()
	for range b.N {
		if _, err := peers.Exchange(context.Background(), srv.Listener.Addr().String(), gossip); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(m.ControlSent.Count()+m.ControlRead.Count())/float64(b.N), "B/exchange")
	b.ReportMetric((cpuTime()-begun).Seconds()*1e6/float64(b.N), "µs-cpu/exchange")
}
