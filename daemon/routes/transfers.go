// This file is the part of the control loop that transfers retry budget between daemons: it requests
// retries from others and grants theirs. coordination/routing/transfer.go decides when and how much.

package routes

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/protocol/gossip"
)

// transfers is the state of the budget transfers that this daemon requested.
type transfers struct {
	last    gossip.TransferID
	pending map[gossip.TransferID]pendingTransfer
}

// pendingTransfer is a requested transfer that has not arrived yet.
type pendingTransfer struct {
	reply chan<- routing.Retries
	until time.Time // deadline of the requester
}

// requestTransfer requests a transfer from another daemon of this daemon's failure domain.
func (c *control) requestTransfer(need *transferNeeded, now time.Time) {
	lender, ok := c.roster.RandomLocalMember(now, c.heartbeats.rng)
	if !ok {
		need.reply <- 0
		return
	}
	c.log.metrics.TransfersRequested.Inc(1)
	l := &c.transfers
	l.last++
	if l.pending == nil {
		l.pending = make(map[gossip.TransferID]pendingTransfer)
	}
	l.pending[l.last] = pendingTransfer{reply: need.reply, until: now.Add(routing.TransferTimeout)}
	ask := gossip.TransferRequest{ID: l.last, From: c.roster.Self().Address, Service: need.service, Requested: need.missing}
	sendReports(c, []membership.Address{lender}, []gossip.TransferRequest{ask}, gossip.EncodeTransferRequests)
}

// grantTransfers responds to a peer's requests for budget transfers.
func (c *control) grantTransfers(requests []gossip.TransferRequest, now time.Time) {
	for _, a := range requests {
		loan := gossip.TransferGrant{ID: a.ID, Granted: c.budgets.GrantTransfer(a.Service, a.Requested, now)}
		if loan.Granted > 0 {
			c.log.metrics.TransfersGranted.Inc(1)
		}
		sendReports(c, []membership.Address{a.From}, []gossip.TransferGrant{loan}, gossip.EncodeTransferGrants)
	}
}

// receiveTransfers delivers transfers to their requesters. Duplicates are ignored.
func (c *control) receiveTransfers(received []gossip.TransferGrant) {
	for _, t := range received {
		if o, ok := c.transfers.pending[t.ID]; ok {
			delete(c.transfers.pending, t.ID)
			o.reply <- t.Granted
		}
	}
}

// dropExpired drops transfers whose deadline has passed.
func (l *transfers) dropExpired(now time.Time) {
	for id, o := range l.pending {
		if now.After(o.until) {
			delete(l.pending, id)
		}
	}
}

// borrow requests the missing part of one retry at a service from another daemon, and returns
// the amount transferred.
func (c *control) borrow(ctx context.Context, service routing.ServiceName, missing routing.Retries) routing.Retries {
	ctx, cancel := context.WithTimeout(ctx, routing.TransferTimeout)
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
