package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	bodiesAtOnce  = 40
	bodyBytes     = 4 << 20 // the largest that the users' configuration allows
	bodiesHeldFor = 700 * time.Millisecond
	smallAtOnce   = 20
)

// startSlowReplica starts a replica that reads each request and responds after bodiesHeldFor.
func startSlowReplica(t *testing.T, id string) net.Listener {
	t.Helper()
	return listenAndServe(t, func(c net.Conn) {
		defer c.Close()
		for reader := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			time.Sleep(bodiesHeldFor)
			if _, err := io.WriteString(c, standin.Response(http.StatusOK, standin.ReadRequest(req.Header).ID, id, "fine", standin.SelfReport{})); err != nil {
				return
			}
		}
	})
}

// post sends a request with a body and returns the status and the reason of a refusal.
func (d *endlessDaemon) post(id, body string) string {
	r := standin.CallerRequest{Method: http.MethodPost, Target: prefixSafe + id, Host: routeHost, ID: id, Key: "k", Timeout: endlessTimeout, Body: body}
	c, err := net.Dial("tcp4", d.callers)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * endlessTimeout))
	go func() { _, _ = io.WriteString(c, r.Text()) }() // a refusal arrives before the body is written
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed"
	}
	defer resp.Body.Close()
	return strings.TrimSpace(fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Outcome-Reason")))
}

// TestLargeBodiesAtOnce guards against callers whose bodies, each within the limit, fill the memory of a daemon until it is
// killed, which breaks off all its requests, and against small requests that are refused meanwhile.
func TestLargeBodiesAtOnce(t *testing.T) {
	binary := buildOwnDaemon(t)
	store := standin.NewStore(50)
	endpoint, err := store.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	store.PutConfig(&standin.Config{
		Version: 1, Services: []standin.Service{{Name: serviceGate}}, Workspaces: []standin.Workspace{{Name: "w", Keys: []string{"k"}}},
		Routes: []standin.Route{{Name: "safe", Host: routeHost, Prefix: prefixSafe, Kind: standin.KindIdempotent, TimeoutMS: endlessTimeout.Milliseconds(), Service: serviceGate, Attempts: 2}},
	})
	for n := range 7 {
		id := "r" + itoa(n)
		store.PutReplica(standin.Replica{ID: id, Service: serviceGate, Address: startSlowReplica(t, id).Addr().String(), Domain: "z", Slots: 64, StartTime: time.Now().UnixMilli()})
	}
	d := startEndlessDaemon(t, binary, endpoint.Address())
	large, small := &endlessOutcomes{counts: make(map[string]int)}, &endlessOutcomes{counts: make(map[string]int)}
	body := strings.Repeat("x", bodyBytes)
	var wg sync.WaitGroup
	for i := range bodiesAtOnce {
		wg.Go(func() { large.add(d.post("large"+itoa(i), body)) })
	}
	for i := range smallAtOnce {
		wg.Go(func() {
			time.Sleep(bodiesHeldFor / 2)
			small.add(d.post("small"+itoa(i), "small"))
		})
	}
	wg.Wait()
	t.Logf("%d MB resident at most; large %v, small %v", d.peakMB.Load(), large.counts, small.counts)
	if peak := d.peakMB.Load(); peak > endlessMemoryMB*7/10 {
		t.Errorf("the daemon held %d MB of %d; the collector works against more than .7 of it", peak, endlessMemoryMB)
	}
	if small.counts["200"] != smallAtOnce {
		t.Errorf("%d of %d small requests were served", small.counts["200"], smallAtOnce)
	}
	if large.counts["200"] == 0 || large.counts["200"]+large.counts["503 bodies_full"] != bodiesAtOnce {
		t.Errorf("large requests: %v", large.counts)
	}
}
