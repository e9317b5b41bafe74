package transport_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/transport"
)

var _ = Describe("Fetch", func() {
	timeouts := transport.Timeouts{FirstByte: 150 * time.Millisecond, Idle: 150 * time.Millisecond}
	BeforeEach(func() { timeouts.Grace, timeouts.MinRate = 0, 0 })

	// fetch requests a response of which the server sends the first piece after wait, and
	// each further one after gap. It returns the number of bytes read.
	fetch := func(wait, gap time.Duration, pieces int) (int, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(wait)
			for range pieces {
				_, _ = w.Write([]byte("piece"))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-r.Context().Done():
				case <-time.After(gap):
				}
			}
		}))
		defer server.Close()
		req, err := http.NewRequest(http.MethodGet, server.URL, nil)
		Expect(err).NotTo(HaveOccurred())
		n := 0
		err = transport.Fetch(server.Client(), req, timeouts, func(resp *http.Response) error {
			b, err := io.ReadAll(resp.Body)
			n = len(b)
			return err
		})
		return n, err
	}

	It("reads a slow response that takes longer in all than the idle timeout", func() {
		n, err := fetch(0, 50*time.Millisecond, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(50))
	})

	It("fails if the response does not start within the first-byte timeout", func() {
		_, err := fetch(400*time.Millisecond, 0, 1)
		Expect(err).To(HaveOccurred())
	})

	It("fails if the body pauses for longer than the idle timeout", func() {
		_, err := fetch(0, 500*time.Millisecond, 3)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a peer that holds a fetch, and whatever waits for it, by a few bytes now and then.
	It("fails if the body arrives more slowly than the lowest rate", func() {
		timeouts.Grace, timeouts.MinRate = 200*time.Millisecond, 1000
		n, err := fetch(0, 20*time.Millisecond, 200)
		Expect(err).To(MatchError(coordination.ErrSlow))
		Expect(n).To(BeNumerically("<", 200))
	})

	It("reads a body of the lowest rate that takes longer than the grace period", func() {
		timeouts.Grace, timeouts.MinRate = 200*time.Millisecond, 20
		n, err := fetch(0, 50*time.Millisecond, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(50))
	})
})
