// This file is the part of the control loop that borrows retries of other daemons, and lends
// them. How much, and when, is decided in coordination/routing/transfer.go.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// loans is what this daemon has asked for.
type loans struct {
	last gossip.LoanID
	open map[gossip.LoanID]openLoan
}

// openLoan is a loan that was asked for.
type openLoan struct {
	reply chan<- routing.Retries
	until time.Time // when nobody waits for it any more
}

// askForLoan asks a daemon of the own failure domain.
func (c *control) askForLoan(w *loanWanted, now time.Time) {
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
	l.open[l.last] = openLoan{reply: w.reply, until: now.Add(routing.TransferTimeout)}
	ask := gossip.LoanAsk{ID: l.last, From: c.roster.Self().Address, Service: w.service, Missing: w.missing}
	sendReports(c, []membership.Address{lender}, []gossip.LoanAsk{ask}, gossip.EncodeLoanAsks)
}

// lend answers requests for loans.
func (c *control) lend(asks []gossip.LoanAsk, now time.Time) {
	for _, a := range asks {
		loan := gossip.Loan{ID: a.ID, Lent: c.budgets.GrantTransfer(a.Service, a.Missing, now)}
		if loan.Lent > 0 {
			c.log.metrics.LoansGiven.Inc(1)
		}
		sendReports(c, []membership.Address{a.From}, []gossip.Loan{loan}, gossip.EncodeLoans)
	}
}

// takeLoans hands loans to those who wait for them. One that comes twice counts once.
func (c *control) takeLoans(loans []gossip.Loan) {
	for _, l := range loans {
		if o, ok := c.loans.open[l.ID]; ok {
			delete(c.loans.open, l.ID)
			o.reply <- l.Lent
		}
	}
}

// forget drops the loans that nobody waits for.
func (l *loans) forget(now time.Time) {
	for id, o := range l.open {
		if now.After(o.until) {
			delete(l.open, id)
		}
	}
}

// borrow asks a daemon for what is missing of a retry at a service, and returns what it lends.
func (c *control) borrow(ctx context.Context, service routing.ServiceName, missing routing.Retries) routing.Retries {
	ctx, cancel := context.WithTimeout(ctx, routing.TransferTimeout)
	defer cancel()
	reply := make(chan routing.Retries, 1)
	c.post(ctx, loanWanted{service: service, missing: missing, reply: reply})
	select {
	case lent := <-reply:
		return lent
	case <-ctx.Done():
		return 0
	}
}
