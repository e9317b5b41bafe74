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

// lendingPair is two daemons of one failure domain that send each other datagrams.
type lendingPair struct {
	controls map[membership.Address]*control
	copies   int // of each datagram that arrive
	now      time.Time
}

const borrower, lender membership.Address = "10.0.0.1:1", "10.0.0.2:1"

// newLendingPair returns daemons whose parts are seven tenths of a retry.
func newLendingPair(t *testing.T) *lendingPair {
	var out bytes.Buffer
	l := newLog(&out, "info", "d", newMetrics())
	t.Cleanup(l.Close)
	p := &lendingPair{controls: make(map[membership.Address]*control), copies: 1, now: time.Unix(1_000_000, 0)}
	for _, a := range []membership.Address{borrower, lender} {
		c := newTestControl(l, fewDocuments{})
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

func (p *lendingPair) deliver(to membership.Address, payload []byte) {
	for range p.copies {
		if e, err := decodeDatagram(payload); err == nil {
			p.controls[to].handle(context.Background(), e, p.now)
		}
	}
}

// want has the borrower ask for what it lacks, and returns what it has been lent; 0 if nothing came.
func (p *lendingPair) want(missing routing.Retries) routing.Retries {
	reply := make(chan routing.Retries, 1)
	p.controls[borrower].handle(context.Background(), loanWanted{service: "s", missing: missing, reply: reply}, p.now)
	select {
	case lent := <-reply:
		return lent
	default:
		return 0
	}
}

func TestDaemonsLendWhatTheyHaveLeft(t *testing.T) {
	p := newLendingPair(t)
	if lent := p.want(0.3); lent < 0.3 {
		t.Fatalf("lent %v, want .3", lent)
	}
	if lent := p.want(1); lent > 0.4 || lent < 0.39 {
		t.Fatalf("lent %v, want what is left of .7", lent)
	}
	if lent := p.want(1); lent != 0 {
		t.Fatalf("lent %v of what is spent", lent)
	}
	if asked, given := p.controls[borrower].log.metrics.LoansAsked.Count(), p.controls[lender].log.metrics.LoansGiven.Count(); asked != 3 || given != 2 {
		t.Errorf("%d loans are counted as asked for and %d as given, want 3 and 2", asked, given)
	}
	p.now = p.now.Add(11 * time.Second)
	p.controls[borrower].roster.Observe([]membership.Member{{Address: lender, Domain: "a", Incarnation: 1, Heartbeats: 2}}, p.now)
	if lent := p.want(0.3); lent < 0.3 {
		t.Fatalf("lent %v after a window, want .3", lent)
	}
}

// TestALoanThatComesTwiceCountsOnce plays datagrams that arrive twice: what is asked for twice is
// lent twice, and one of the two is lost.
func TestALoanThatComesTwiceCountsOnce(t *testing.T) {
	p := newLendingPair(t)
	p.copies = 2
	if lent := p.want(0.3); lent < 0.3 || lent > 0.302 {
		t.Fatalf("lent %v, want .3 once", lent)
	}
}

// TestALoanThatIsNotAnsweredIsGivenUp plays a lender of an earlier build, which drops what it does
// not know: the request waits for a moment, and the daemon keeps nothing of it.
func TestALoanThatIsNotAnsweredIsGivenUp(t *testing.T) {
	p := newLendingPair(t)
	c := p.controls[borrower]
	c.events = make(chan event, eventQueue)
	var asked int
	c.heartbeats.send = func(_ membership.Address, payload []byte) {
		if gossip.IsLoanAsks(payload) {
			asked++
		}
	}
	done := make(chan routing.Retries)
	go func() { done <- c.borrow(context.Background(), "s", 0.3) }()
	c.handle(context.Background(), <-c.events, p.now)
	if lent := <-done; lent != 0 || asked != 1 {
		t.Fatalf("lent %v, asked %d times", lent, asked)
	}
	c.loans.forget(p.now.Add(time.Second))
	if len(c.loans.open) != 0 {
		t.Fatal("a loan that nobody waits for is kept")
	}
}

// TestADaemonAloneBorrowsNothing holds that one that knows no other of its domain answers at once.
func TestADaemonAloneBorrowsNothing(t *testing.T) {
	p := newLendingPair(t)
	p.controls[borrower].roster = membership.NewRoster(membership.Member{Address: borrower, Domain: "a"}, nil)
	if lent := p.want(0.3); lent != 0 {
		t.Fatalf("lent %v by nobody", lent)
	}
}
