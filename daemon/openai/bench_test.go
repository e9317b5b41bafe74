package openai_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/daemon/openai"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport/gateway"
)

// metric returns the value of one metric of a daemon, or 0.
func (r *running) metric(name string) float64 {
	resp, err := http.Get("http://" + r.d.OperatorAddress() + gateway.PathMetrics)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		var v float64
		if rest, ok := strings.CutPrefix(lines.Text(), "hingewinch_"+name+" "); ok {
			_, _ = fmt.Sscan(rest, &v)
			return v
		}
	}
	return 0
}

// BenchmarkControlTraffic runs real daemons without requests and measures the bytes on
// their control connections, including HTTP framing but not TLS and TCP headers. At
// the larger size each daemon watches about five engines, as in the real fleet.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ daemons, domains, engines int }{{8, 4, 20}, {24, 3, 120}} {
		b.Run(fmt.Sprintf("daemons=%d/engines=%d", size.daemons, size.engines), func(b *testing.B) {
			RegisterTestingT(b)
			for range b.N {
				controlTraffic(b, size.daemons, size.domains, size.engines)
			}
		})
	}
}

func controlTraffic(b *testing.B, n, domains, engines int) {
	platform := standin.NewPlatform()
	srv := httptest.NewServer(platform)
	defer srv.Close()
	var members []state.Member
	domain := func(i int) state.FailureDomain { return state.FailureDomain(fmt.Sprintf("fd-%d", i%domains)) }
	for i := range engines {
		e := httptest.NewServer(standin.NewEngine(standin.EngineOptions{ID: fmt.Sprintf("e%d", i)}))
		defer e.Close()
		defer e.CloseClientConnections()
		members = append(members, state.Member{ID: fmt.Sprintf("e%d", i), Kind: state.KindEngine, Group: "g", Domain: domain(i), Address: e.Listener.Addr().String(), Incarnation: 1, State: state.Live})
	}
	var all []*running
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range n {
		text := fmt.Sprintf("id: d%d\ndomain: %s\nplatform: %s\nlisten: {callers: %s, peers: %s, operators: %s}\nstop: {notice: 0s}\n", i, domain(i), srv.URL, freeAddress(), freeAddress(), freeAddress())
		s, err := openai.ParseSettings("settings", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		d, err := openai.New(s, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
		Expect(err).NotTo(HaveOccurred())
		members = append(members, state.Member{ID: string(s.ID), Kind: state.KindDaemon, Domain: s.Domain, Address: s.Peer, Incarnation: 1, State: state.Live})
		all = append(all, &running{settings: s, d: d, done: make(chan error, 1)})
	}
	platform.Publish(protocol.PathConfig, config(1))
	platform.Publish(protocol.PathMembers, standin.FormatMemberList(1, members))
	for _, r := range all {
		go func() { r.done <- r.d.Run(ctx) }()
	}
	time.Sleep(5 * time.Second)
	total := func() (bytes float64) {
		for _, r := range all {
			bytes += r.metric("control_sent_bytes_total") + r.metric("control_read_bytes_total")
		}
		return bytes
	}
	const period = 20 * time.Second
	bytes, calls, cpu := total(), platform.Calls(), processTime()
	time.Sleep(period)
	daemons := float64(n)
	b.ReportMetric((total()-bytes)/period.Seconds()/daemons, "B/daemon/s")
	b.ReportMetric(float64(platform.Calls()-calls)/period.Seconds(), "platform-calls/s")
	b.ReportMetric(100*(processTime()-cpu).Seconds()/period.Seconds()/daemons, "%core/daemon")
	cancel()
	for _, r := range all {
		<-r.done
	}
}

// processTime returns the CPU time of this process, including engines and platform.
func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
