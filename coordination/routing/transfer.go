// Budget transfers: how daemons transfer parts of their retry budgets to each other.
//
// In a large fleet an equal share of the fleet's retries is about one retry, or less. Which
// daemons have failed requests is random: some lack a retry while nine tenths of the fleet's
// retries are unspent.
//
// The inputs are a daemon's share of the retries and what is left of it (budget.go).
//
//  1. A daemon that lacks a retry, and whose share is below maxTransferShare, asks a daemon of
//     its failure domain for the missing fraction, and up to MaxTransferPeers of them one after
//     another. With larger shares the random differences even out: what one daemon lacks, the
//     others lack too.
//  2. The daemon that is asked gives what it has left, and counts it as spent before it responds.
//     A transfer that is lost on the way or arrives too late is not returned. So the fleet never
//     spends more than without transfers, whatever the daemons know of each other.
//  3. A transfer is for one retry that is due at once, and is not kept for later.

package routing

import "time"

const (
	// maxTransferShare is the share, in retries per window, from which a daemon does not request
	// transfers.
	maxTransferShare Retries = 3
	// MaxTransferPeers is how many daemons are asked for one retry: if a third of them have nothing
	// left, hardly any request ends up without a retry. Mostly the first one gives enough.
	MaxTransferPeers = 6
	// TransferTimeout is how long to wait for a daemon that was asked: several round trips to a
	// daemon of the same domain, and short compared with the time that callers wait for a
	// response.
	TransferTimeout = 25 * time.Millisecond
)

// TransferNeeded returns how much a daemon should request for one retry in addition to an existing
// transfer, by rule 1; 0 if it should request nothing.
func (b *RetryBudgets) TransferNeeded(s ServiceName, transfer Retries, now time.Time) Retries {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	if b.share(w) >= maxTransferShare {
		return 0
	}
	return max(0, 1-transfer-max(0, b.remaining(w)))
}

// GrantTransfer grants another daemon as much of the missing retries as this daemon has left. It
// returns the granted amount, which counts as spent here.
func (b *RetryBudgets) GrantTransfer(s ServiceName, missing Retries, now time.Time) Retries {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	granted := max(0, min(missing, b.remaining(w), 1))
	w.spent[w.slot%budgetSlots] += granted
	return granted
}
