package routes

import (
	"bytes"
	"context"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// transferPair simulates two daemons of one failure domain that send each other datagrams.
type transferPair struct {
	controls map[membership.Address]*control
	copies   int // number of times that each datagram is delivered
	now      time.Time
}

const borrower, lender membership.Address = "10.0.0.1:1", "10.0.0.2:1"

// newTransferPair returns daemons whose shares of the retry budget are 0.7 retries each.
func newTransferPair(t *testing.T) *transferPair {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	t.Cleanup(l.Close)
	p := &transferPair{controls: make(map[membership.Address]*control), copies: 1, now: time.Unix(1_000_000, 0)}
	for _, a := range []membership.Address{borrower, lender} {
		c := newTestControl(l, fakeDocuments{})
		c.domain = "a"
		c.roster = membership.NewRoster(membership.Member{Address: a, Domain: "a"}, nil)
		c.budgets = routing.NewRetryBudgets(routing.RetryRule{Extra: 2, Window: 10 * time.Second}, 2)
		c.heartbeats.send = func(to membership.Address, payload []byte) { p.deliver(to, payload) }
		p.controls[a] = c
	}
	for a, c := range p.controls {
		for b := range p.controls {
			if a != b {
				c.roster.Observe([]membership.Member{{Address: b, Domain: "a", Incarnation: 1, Heartbeats: 1}}, p.now)
			}
		}
	}
	return p
}

func (p *transferPair) deliver(to membership.Address, payload []byte) {
	for range p.copies {
		if e, err := decodeDatagram(payload); err == nil {
			p.controls[to].handle(context.Background(), e, p.now)
		}
	}
}

// requestTransfer has the borrower request a transfer, and returns the amount received, or 0 if there was
// no response.
func (p *transferPair) requestTransfer(missing routing.Retries) routing.Retries {
	reply := make(chan routing.Retries, 1)
	p.controls[borrower].handle(context.Background(), transferNeeded{service: "s", missing: missing, reply: reply}, p.now)
	select {
	case lent := <-reply:
		return lent
	default:
		return 0
	}
}

func TestDaemonsTransferUnusedBudget(t *testing.T) {
	p := newTransferPair(t)
	if lent := p.requestTransfer(0.3); lent < 0.3 {
		t.Fatalf("lent %v, want 0.3", lent)
	}
	if lent := p.requestTransfer(1); lent > 0.4 || lent < 0.39 {
		t.Fatalf("lent %v, want what is left of 0.7", lent)
	}
	if lent := p.requestTransfer(1); lent != 0 {
		t.Fatalf("lent %v from a spent budget", lent)
	}
	if asked, given := p.controls[borrower].log.metrics.TransfersRequested.Count(), p.controls[lender].log.metrics.TransfersGranted.Count(); asked != 3 || given != 2 {
		t.Errorf("counted %d requested and %d granted transfers, want 3 and 2", asked, given)
	}
	p.now = p.now.Add(11 * time.Second)
	p.controls[borrower].roster.Observe([]membership.Member{{Address: lender, Domain: "a", Incarnation: 1, Heartbeats: 2}}, p.now)
	if lent := p.requestTransfer(0.3); lent < 0.3 {
		t.Fatalf("lent %v after a window, want 0.3", lent)
	}
}

// TestDuplicateTransferCountsOnce delivers each datagram twice. The lender then grants the transfer
// twice, but the borrower must use only one of the two.
func TestDuplicateTransferCountsOnce(t *testing.T) {
	p := newTransferPair(t)
	p.copies = 2
	if lent := p.requestTransfer(0.3); lent < 0.3 || lent > 0.302 {
		t.Fatalf("lent %v, want 0.3 once", lent)
	}
}

// TestUnansweredTransferExpires simulates a lender of an earlier build, which ignores requests
// for transfers. The borrower must give up after TransferTimeout and drop the transfer.
func TestUnansweredTransferExpires(t *testing.T) {
	p := newTransferPair(t)
	c := p.controls[borrower]
	c.events = make(chan event, eventQueue)
	var asked int
	c.heartbeats.send = func(_ membership.Address, payload []byte) {
		if gossip.IsTransferRequests(payload) {
			asked++
		}
	}
	done := make(chan routing.Retries)
	go func() { done <- c.borrow(context.Background(), "s", 0.3) }()
	c.handle(context.Background(), <-c.events, p.now)
	if lent := <-done; lent != 0 || asked != 1 {
		t.Fatalf("lent %v, asked %d times", lent, asked)
	}
	c.transfers.dropExpired(p.now.Add(time.Second))
	if len(c.transfers.pending) != 0 {
		t.Fatal("an expired transfer is kept")
	}
}

// TestTransferWithoutPeerInDomain checks that a daemon which knows no other daemon in its failure domain
// gets an immediate response of 0.
func TestTransferWithoutPeerInDomain(t *testing.T) {
	p := newTransferPair(t)
	p.controls[borrower].roster = membership.NewRoster(membership.Member{Address: borrower, Domain: "a"}, nil)
	if lent := p.requestTransfer(0.3); lent != 0 {
		t.Fatalf("lent %v without a lender", lent)
	}
}
