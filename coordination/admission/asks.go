// This file keeps the requests for permits of a daemon that have no decision yet, and chooses which of them a
// message lists, by rules 6, 7 and 9 of client.go.

package admission

import (
	"cmp"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// queuedMark in [Ask.Tried] says that a coordinator has queued the ask, so that another one does not refuse
// it. Coordinators of the previous build take it for a replica that they do not know. Messages are arrays of
// fixed length, to which those could not accept a new field. A replica with this key, one of 2^32, would lose
// no more than the requests that come from another coordinator.
const queuedMark routing.LoadKey = 0

// pendingAsk is an ask without a decision.
type pendingAsk struct {
	Ask
	asked, target, deadline time.Time
	queued                  bool     // by the current coordinator
	wasQueued               bool     // by any coordinator
	mayNotWait              bool     // it is given up unless a place is free
	listed                  Sequence // of the last message to the current coordinator that lists it; 0: none
}

// ask adds an ask.
func (c *client) ask(a Ask, now time.Time) {
	c.asks = append(c.asks, &pendingAsk{Ask: a, asked: now, target: now.Add(a.UntilTarget),
		deadline: now.Add(a.UntilDeadline)})
	c.lastAsk = now
	c.d.activate(c)
	c.choose(now)
	c.current.schedule(now)
}

// withdraw removes an ask.
func (c *client) withdraw(id PermitID, now time.Time) {
	if c.removeAsk(id) != nil && c.current != nil {
		c.current.schedule(c.releaseAt(c.current, now))
	}
}

// indexOfAsk returns the index of an ask, or -1 if it has a decision.
func (c *client) indexOfAsk(id PermitID) int {
	return slices.IndexFunc(c.asks, func(a *pendingAsk) bool { return a.ID == id })
}

// removeAsk removes an ask and returns it, or nil if it has a decision.
func (c *client) removeAsk(id PermitID) *pendingAsk {
	i := c.indexOfAsk(id)
	if i < 0 {
		return nil
	}
	a := c.asks[i]
	c.asks = slices.Delete(c.asks, i, i+1)
	return a
}

// listAsks returns the asks of the message with a sequence number, by rule 6.
func (c *client) listAsks(in Sequence, now time.Time) []Ask {
	list := c.asks
	if len(list) > MaxPending {
		list = slices.Clone(list)
		slices.SortStableFunc(list, compareForList)
		list = list[:MaxPending]
	}
	out := make([]Ask, 0, len(list))
	for _, a := range list {
		a.listed = in
		ask := a.Ask
		ask.UntilTarget, ask.UntilDeadline = a.target.Sub(now), a.deadline.Sub(now)
		if a.mayNotWait {
			ask.UntilDeadline = 0
		}
		if a.wasQueued {
			last := a.Tried[max(0, len(a.Tried)-MaxTried+1):]
			ask.Tried = append(slices.Clone(last), queuedMark)
		}
		out = append(out, ask)
	}
	return out
}

// compareForList orders asks that do not all fit into a message.
func compareForList(a, b *pendingAsk) int {
	if a.queued || b.queued {
		return cmp.Or(cmp.Compare(boolToInt(a.queued), boolToInt(b.queued)), cmp.Compare(a.listed, b.listed))
	}
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.listed, b.listed))
}

// hasUnlisted reports whether an ask waits that the current coordinator has not queued and that did not fit
// into the last message.
func (c *client) hasUnlisted() bool {
	return slices.ContainsFunc(c.asks, func(a *pendingAsk) bool { return !a.queued && a.listed < c.current.sequence })
}

// recordQueued records that a coordinator has queued an ask.
func (c *client) recordQueued(l *link, id PermitID) {
	if i := c.indexOfAsk(id); i >= 0 {
		c.asks[i].wasQueued = true
		c.asks[i].queued = c.asks[i].queued || l == c.current
	}
}

// forgetQueued makes all asks new to the current coordinator, which is another one or has restarted.
func (c *client) forgetQueued() {
	for _, a := range c.asks {
		a.queued, a.listed = false, 0
	}
}

// expireAsks implements rule 9.
func (c *client) expireAsks(now time.Time) {
	for i := 0; i < len(c.asks); {
		a := c.asks[i]
		if now.Before(a.deadline) && c.needed() {
			i++
			continue
		}
		c.withdraw(a.ID, now)
		c.reportDecision(a, Refused{ID: a.ID, RetryAfter: minRetryAfter}, c.current, c.current.to.address, now)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
