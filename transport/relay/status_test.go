package relay_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// Guards against responses whose status is none, such as 000, that are taken for interim ones, so that the caller waits until its
// deadline, or that are passed on.
var _ = Describe("Response whose status is none", func() {
	statuses := []string{"000", "001", "099", "101", "+12", "-01"}
	bodies := map[string]string{"without a body": "Content-Length: 0\r\n\r\n", "with a body": "Content-Length: 4\r\n\r\nfine", "unframed": "\r\nfine"}
	var entries []TableEntry
	for _, status := range statuses {
		for name, body := range bodies {
			for _, carried := range []bool{false, true} {
				entries = append(entries, Entry(fmt.Sprintf("%s, %s, carried %t", status, name, carried), status, body, carried))
			}
		}
	}
	// odd responds with a status that is none, and keeps the connection open. It also asks for a backoff.
	odd := func(status, body string) func(a *receivedRequest) bool {
		return func(a *receivedRequest) bool {
			return write(a, "HTTP/1.1 "+status+" X\r\nAttempt-Id: "+a.id()+"\r\nRetry-After: 30\r\nServer-Leaving: 1\r\n"+sealed+body)
		}
	}
	newOdd := func(route routing.Route, carried bool, replicas ...*replica) *fixture {
		if carried {
			return newCutFixture(route, refusingLink, []*carrierPeer{startCarrier(replicas...)}, replicas...)
		}
		return newFixture(route, replicas...)
	}

	DescribeTable("of a request that must not run twice: an error at once, and the head is not believed", func(status, body string, carried bool) {
		r := startReplica("r", odd(status, body))
		w := newOdd(atMostOnce, carried, r)
		started := time.Now()
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second), "not only at the deadline of 3 s")
		Expect(to.refusal).To(Equal(coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}))
		Expect(w.relay.Placer.Departures.IsLeaving(&r.Replica)).To(BeFalse())
	}, entries)

	DescribeTable("of a repeatable request: another replica serves it", func(status, body string, carried bool) {
		calls, bad := 0, odd(status, body)
		script := func(a *receivedRequest) bool {
			if countCall(&calls) == 1 {
				return bad(a)
			}
			return respondOK(a)
		}
		// The connection to the first one is refused if they are carried.
		w := newOdd(idempotent, carried, startReplica("r", script), startReplica("s", script), startReplica("t", script))
		to, _ := w.serve(w.call("1", "GET", ""))
		Expect(to.status).To(Equal(http.StatusOK))
	}, entries)

	It("is no reason to doubt interim responses, and statuses above 599 are passed on as they are", func() {
		w := newFixture(atMostOnce, startReplica("r", func(a *receivedRequest) bool {
			write(a, "HTTP/1.1 103 Early Hints\r\n\r\n")
			return respond(a, 999, sealed, "odd")
		}))
		to, _ := w.serve(w.call("1", "POST", "x"))
		Expect(to.status).To(Equal(999))
		Expect(string(to.body)).To(Equal("odd"))
	})
})
