// This file is the part of the control loop that transfers retry budget between daemons: it requests
// retries from others and grants theirs. coordination/routing/loan.go decides when and how much.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// loans is the state of the budget transfers that this daemon requested.
type loans struct {
	last gossip.LoanID
	open map[gossip.LoanID]openLoan
}

// openLoan is a requested transfer that has not arrived yet.
type openLoan struct {
	reply chan<- routing.Retries
	until time.Time // deadline of the requester
}

// askForLoan requests a transfer from another daemon of this daemon's failure domain.
func (c *control) askForLoan(w *transferNeeded, now time.Time) {
	lender, ok := c.roster.Neighbour(now, c.heartbeats.rng)
	if !ok {
		w.reply <- 0
		return
	}
	c.log.metrics.LoansAsked.Inc(1)
	l := &c.loans
	l.last++
	if l.open == nil {
		l.open = make(map[gossip.LoanID]openLoan)
	}
	l.open[l.last] = openLoan{reply: w.reply, until: now.Add(routing.LoanTimeout)}
	ask := gossip.LoanAsk{ID: l.last, From: c.roster.Self().Address, Service: w.service, Missing: w.missing}
	sendReports(c, []membership.Address{lender}, []gossip.LoanAsk{ask}, gossip.EncodeLoanAsks)
}

// lend responds to a peer's requests for budget transfers.
func (c *control) lend(asks []gossip.LoanAsk, now time.Time) {
	for _, a := range asks {
		loan := gossip.Loan{ID: a.ID, Lent: c.budgets.Lend(a.Service, a.Missing, now)}
		if loan.Lent > 0 {
			c.log.metrics.LoansGiven.Inc(1)
		}
		sendReports(c, []membership.Address{a.From}, []gossip.Loan{loan}, gossip.EncodeLoans)
	}
}

// takeLoans delivers transfers to their requesters. Duplicates are ignored.
func (c *control) takeLoans(loans []gossip.Loan) {
	for _, l := range loans {
		if o, ok := c.loans.open[l.ID]; ok {
			delete(c.loans.open, l.ID)
			o.reply <- l.Lent
		}
	}
}

// forget drops transfers whose deadline has passed.
func (l *loans) forget(now time.Time) {
	for id, o := range l.open {
		if now.After(o.until) {
			delete(l.open, id)
		}
	}
}

// borrow requests the missing part of one retry at a service from another daemon, and returns
// the amount transferred.
func (c *control) borrow(ctx context.Context, service routing.ServiceName, missing routing.Retries) routing.Retries {
	ctx, cancel := context.WithTimeout(ctx, routing.LoanTimeout)
	defer cancel()
	reply := make(chan routing.Retries, 1)
	c.post(ctx, transferNeeded{service: service, missing: missing, reply: reply})
	select {
	case lent := <-reply:
		return lent
	case <-ctx.Done():
		return 0
	}
}
