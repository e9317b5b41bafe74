package openai_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	mrand "math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/daemon/openai"
	"hingewinch.org/hingewinch/internal/spec"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

func TestDaemon(t *testing.T) { spec.Run(t, "daemon") }

const (
	key      = "key-of-w"
	patience = 20 * time.Second
)

// fleet is a few real daemons with a platform and an engine.
type fleet struct {
	platform *standin.Platform
	engine   *standin.Engine
	daemons  []*running
	members  []state.Member
}

type running struct {
	settings *openai.Settings
	d        *openai.Daemon
	stop     context.CancelFunc
	done     chan error
}

// testPort is the port of all listeners of daemons. It is below the ephemeral port range:
// an ephemeral port that a test reserves and releases may be allocated again before the
// daemon listens on it.
const testPort = 7350

var (
	addressesMu   sync.Mutex
	addressesUsed = mrand.IntN(1 << 20)
)

// freeAddress returns a loopback address that no other listener of the tests uses.
func freeAddress() string {
	addressesMu.Lock()
	defer addressesMu.Unlock()
	addressesUsed++
	n := addressesUsed
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+n>>16, n>>8&255, n&255, testPort)
}

func serveHandler(h http.Handler) string {
	srv := httptest.NewServer(h)
	DeferCleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.Listener.Addr().String()
}

func config(version int) []byte {
	return fmt.Appendf(nil, "version: %d\nmodels: [{name: m}]\nengines: [{name: g, models: [m]}]\nworkspaces: [{name: w, keys: [%q], models: [m]}]\n", version, state.HashKey(key))
}

func newFleet(n int, tokenTime time.Duration, change func(*openai.Settings)) *fleet {
	f := &fleet{platform: standin.NewPlatform(), engine: standin.NewEngine(standin.EngineOptions{ID: "e0", TokenInterval: tokenTime, CompletionWords: 20})}
	platform := serveHandler(f.platform)
	f.members = append(f.members, state.Member{ID: "e0", Kind: state.KindEngine, Group: "g", Domain: "a", Address: serveHandler(f.engine), Incarnation: 1, State: state.Live})
	for i := range n {
		s := &openai.Settings{}
		text := fmt.Sprintf("id: d%d\ndomain: a\nplatform: http://%s\nlisten: {callers: %s, peers: %s, operators: %s}\nstop: {notice: 200ms}\n", i, platform, freeAddress(), freeAddress(), freeAddress())
		s, err := openai.ParseSettings("settings", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		if change != nil {
			change(s)
		}
		f.members = append(f.members, state.Member{ID: string(s.ID), Kind: state.KindDaemon, Domain: "a", Address: s.Peer, Incarnation: 1, State: state.Live})
		f.daemons = append(f.daemons, &running{settings: s})
	}
	f.platform.Publish(protocol.PathConfig, config(1))
	f.platform.Publish(protocol.PathMembers, standin.FormatMemberList(1, f.members))
	for _, r := range f.daemons {
		r.start()
	}
	for _, r := range f.daemons {
		r.awaitReady()
	}
	return f
}

func (r *running) start() {
	var err error
	r.d, err = openai.New(r.settings, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	r.stop, r.done = stop, make(chan error, 1)
	go func() { r.done <- r.d.Run(ctx) }()
	DeferCleanup(stop)
}

func (r *running) url(path string) string { return "http://" + r.d.CallerAddress() + path }

func (r *running) ready() int {
	resp, err := http.Get(r.url(gateway.PathReady))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (r *running) awaitReady() {
	Eventually(r.ready, patience, "20ms").Should(Equal(http.StatusOK))
}

func (r *running) status() gateway.StatusAnswer {
	var a gateway.StatusAnswer
	resp, err := http.Get("http://" + r.d.OperatorAddress() + gateway.PathStatus)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&a)
	return a
}

// chat sends one streamed chat and reports whether its response was complete.
func (r *running) chat() (whole bool, err error) {
	req, _ := http.NewRequest(http.MethodPost, r.url(protocol.PathChat), strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode == http.StatusOK && strings.HasSuffix(string(text), "data: [DONE]\n\n"), err
}

var _ = Describe("a planned stop", func() {
	DescribeTable("interrupts no request", func(stopped int, platformAway bool) {
		f := newFleet(3, 30*time.Millisecond, nil)
		f.platform.SetUnavailable(platformAway)
		results := make(chan bool, 60)
		var open atomic.Int64
		for i := range 60 {
			go func() {
				open.Add(1)
				whole, err := f.daemons[i%3].chat()
				results <- whole && err == nil
			}()
		}
		Eventually(func() int64 { return f.engine.Requests.Load() }, patience).Should(Equal(int64(60)))
		for _, r := range f.daemons[:stopped] {
			r.stop()
		}
		for _, r := range f.daemons[:stopped] {
			// The health check fails while the daemon still serves.
			Eventually(r.ready, patience, "5ms").Should(Equal(http.StatusServiceUnavailable))
		}
		for range 60 {
			Eventually(results, patience).Should(Receive(BeTrue()))
		}
		for _, r := range f.daemons[:stopped] {
			Eventually(r.done, patience).Should(Receive(BeNil()))
		}
	},
		Entry("of one daemon", 1, false),
		Entry("of several at once", 2, false),
		Entry("of all, with the platform unreachable", 3, true),
	)
	It("serves new requests during the notice period", func() {
		f := newFleet(1, 0, func(s *openai.Settings) { s.Stop.Notice = time.Second })
		r := f.daemons[0]
		r.stop()
		Eventually(r.ready, patience, "5ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(r.chat()).To(BeTrue())
	})
})

var _ = Describe("daemons", func() {
	It("apply a configuration and spread it while the platform is unreachable", func() {
		f := newFleet(3, 0, nil)
		f.platform.Publish(protocol.PathConfig, config(2))
		for _, r := range f.daemons {
			Eventually(func() string { return r.status().Config }, patience, "20ms").Should(HavePrefix("2@"))
		}
		f.platform.Publish(protocol.PathConfig, []byte("version: 3\nmodels: nonsense\n"))
		Consistently(func() string { return f.daemons[0].status().Config }, "300ms").Should(HavePrefix("2@"))
		f.platform.SetUnavailable(true)
		f.daemons[0].stop()
		Eventually(f.daemons[0].done, patience).Should(Receive(BeNil()))
		// A daemon that starts while the platform is unreachable gets all documents from a
		// peer.
		s := *f.daemons[0].settings
		s.Seeds = []string{f.daemons[1].settings.Peer}
		fresh := &running{settings: &s}
		fresh.start()
		fresh.awaitReady()
		Expect(fresh.status().Config).To(HavePrefix("2@"))
		Expect(fresh.chat()).To(BeTrue())
	})
	It("fail the health check and refuse as not-run while they have no configuration", func() {
		platform := standin.NewPlatform()
		text := fmt.Sprintf("id: d0\ndomain: a\nplatform: http://%s\nlisten: {callers: 127.0.0.1:0, peers: 127.0.0.1:0, operators: 127.0.0.1:0}\nstop: {notice: 0s}\n", serveHandler(platform))
		s, err := openai.ParseSettings("settings", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		r := &running{settings: s}
		r.start()
		Eventually(r.ready, patience).Should(Equal(http.StatusServiceUnavailable))
		resp, err := http.Get(r.url("/v1/models"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.Header.Get(protocol.HeaderOutcome)).To(Equal("not-run"))
	})
	It("serve callers over TLS if configured", func() {
		dir := GinkgoT().TempDir()
		newAuthority(dir).sign(dir, "callers")
		text := fmt.Sprintf("id: d0\ndomain: a\nplatform: http://%s\nlisten: {callers: 127.0.0.1:0, peers: 127.0.0.1:0, operators: 127.0.0.1:0}\nstop: {notice: 0s}\ntls: {callers: {certificate: %s/callers.pem, key: %s/callers.key}}\n", serveHandler(standin.NewPlatform()), dir, dir)
		s, err := openai.ParseSettings("settings", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		r := &running{settings: s}
		r.start()
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		Eventually(func() int {
			resp, err := client.Get("https://" + r.d.CallerAddress() + gateway.PathReady)
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			return resp.StatusCode
		}, patience).Should(Equal(http.StatusServiceUnavailable))
		Expect(r.ready()).To(Equal(http.StatusBadRequest)) // plain HTTP is rejected
	})
	It("accept peers only over mutual TLS", func() {
		dir := GinkgoT().TempDir()
		ca := newAuthority(dir)
		ca.sign(dir, "fleet")
		files := transport.TLSFiles{
			Certificate: filepath.Join(dir, "fleet.pem"), Key: filepath.Join(dir, "fleet.key"), CA: filepath.Join(dir, "ca.pem"),
		}
		f := newFleet(2, 0, func(s *openai.Settings) { s.TLS.Peers = files })
		f.platform.SetUnavailable(true)
		Eventually(func() int64 { return f.daemons[0].status().ListAgeMS }, patience).Should(BeNumerically(">=", 0))
		_, err := tls.Dial("tcp", f.daemons[0].settings.Peer, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12})
		Expect(err).To(HaveOccurred())
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		_, err = client.Post("https://"+f.daemons[0].settings.Peer+"/twirp/hingewinch.peer.Peer/Exchange", "application/json", strings.NewReader("{}"))
		Expect(err).To(HaveOccurred())
		cfg, err := transport.ClientTLS(files)
		Expect(err).NotTo(HaveOccurred())
		client = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
		resp, err := client.Post("https://"+f.daemons[0].settings.Peer+"/twirp/hingewinch.peer.Peer/Exchange", "application/json", strings.NewReader("{}"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest)) // gossip without a sender
	})
})

var _ = Describe("settings", func() {
	DescribeTable("are rejected with line and remedy", func(text, want string) {
		_, err := openai.ParseSettings("d.yaml", []byte(text))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("empty", "", "d.yaml:1: file is empty"),
		Entry("an unknown key", "id: d\nlisten_on: x\n", `d.yaml:2: unknown key "listen_on"; remove it`),
		Entry("a wrong address", "id: d\ndomain: a\nplatform: http://p:1\nlisten:\n  callers: nowhere\n", `d.yaml:5: address "nowhere" is not HOST:PORT`),
		Entry("a wrong platform", "id: d\nplatform: p\n", `d.yaml:2: platform "p" is not a base URL`),
		Entry("an incomplete TLS identity", "id: d\ntls:\n  peers: {key: k}\n", "d.yaml:3: tls for peers lacks"),
		Entry("a limit of zero", "id: d\nlimits: {timeout: 0s}\n", "d.yaml:2: timeout is not above 0"),
	)
	It("of the examples are valid", func() {
		files, err := filepath.Glob("../../examples/*/hingewinchd-*.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := openai.LoadSettings(file)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(dir string) *authority {
	k, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(crand.Reader, t, t, &k.PublicKey, k)
	Expect(err).NotTo(HaveOccurred())
	writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", der)
	return &authority{t, k}
}

func (a *authority) sign(dir, name string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(crand.Reader, t, a.cert, &k.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", der)
	keyDER, err := x509.MarshalECPrivateKey(k)
	Expect(err).NotTo(HaveOccurred())
	writePEM(filepath.Join(dir, name+".key"), "EC PRIVATE KEY", keyDER)
}

func writePEM(file, kind string, der []byte) {
	Expect(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}
