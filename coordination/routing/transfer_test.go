package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination/routing"
)

// transferFleet is a fleet of daemons under one retry rule that transfer retries to each other
// without a network.
type transferFleet struct {
	rng     *rand.Rand
	budgets []*routing.RetryBudgets
	lost    float64 // share of the transfers that are lost in transit
}

func newTransferFleet(daemons int, rule routing.RetryRule) *transferFleet {
	f := &transferFleet{rng: rand.New(rand.NewPCG(1, uint64(daemons)))}
	for range daemons {
		f.budgets = append(f.budgets, routing.NewRetryBudgets(rule, daemons))
	}
	return f
}

// retry requests a retry at a daemon, which requests transfers if it lacks one.
func (f *transferFleet) retry(daemon int, transfers bool, now time.Time) bool {
	b := f.budgets[daemon]
	if b.SpendRetry("s", now) {
		return true
	}
	received := routing.Retries(0)
	for range routing.MaxTransferPeers {
		missing := b.TransferNeeded("s", received, now)
		if !transfers || missing == 0 {
			return false
		}
		granted := f.budgets[f.rng.IntN(len(f.budgets))].GrantTransfer("s", missing, now)
		if f.rng.Float64() >= f.lost {
			received += granted
		}
		if b.SpendWithGrant("s", received, now) {
			return true
		}
	}
	return false
}

// TestTransfersCoverUnevenFailures simulates very many daemons with few requests each. A tenth of
// the requests fail once, and each daemon's share of the retries is about one. Hardly any failed
// request may lack a retry while the fleet has hundreds.
func TestTransfersCoverUnevenFailures(t *testing.T) {
	for _, c := range []struct {
		daemons int
		extra   float64
	}{{300, 630}, {986, 1040}, {2000, 1400}} {
		denied := func(transfers bool) float64 {
			f := newTransferFleet(c.daemons, routing.RetryRule{Ratio: 0.2, Extra: c.extra, Window: 10 * time.Second})
			failed, without := 0, 0
			const perSecond = 0.27 // requests at each daemon
			for step := range 2500 {
				now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
				for range int(float64(c.daemons)*perSecond/100 + f.rng.Float64()) {
					daemon := f.rng.IntN(c.daemons)
					f.budgets[daemon].CountRequest("s", now)
					if f.rng.IntN(10) > 0 {
						continue
					}
					failed++
					if !f.retry(daemon, transfers, now) {
						without++
					}
				}
			}
			return float64(without) / float64(failed)
		}
		alone, transferring := denied(false), denied(true)
		t.Logf("%d daemons: %.3f of the failed requests lack a retry, %.3f with transfers", c.daemons, alone, transferring)
		if transferring > 0.01 {
			t.Errorf("%d daemons: %.3f of the failed requests lack a retry (%.3f without transfers)", c.daemons, transferring, alone)
		}
	}
}

// TestTransfersStayWithinRetryRule simulates retry storms in which every retry fails too and
// transfers are lost in transit. The retries spent by the fleet in any window must stay within
// the rule.
func TestTransfersStayWithinRetryRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := routing.RetryRule{Ratio: 0.2, Extra: float64(rapid.IntRange(0, 60).Draw(t, "extra")), Window: 10 * time.Second}
		daemons := rapid.IntRange(1, 60).Draw(t, "daemons")
		f := newTransferFleet(daemons, rule)
		f.lost = float64(rapid.IntRange(0, 10).Draw(t, "lost")) / 10
		busy := rapid.IntRange(1, daemons).Draw(t, "daemons with requests")
		var requests, retries []time.Time
		for step := range 300 {
			now := epoch.Add(time.Duration(step) * 100 * time.Millisecond)
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				daemon := f.rng.IntN(busy)
				f.budgets[daemon].CountRequest("s", now)
				requests = append(requests, now)
				for f.retry(daemon, true, now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			n, of := countInWindow(retries, end, rule.Window), countInWindow(requests, end, rule.Window)
			if limit := rule.Ratio*float64(of) + rule.Extra; float64(n) > limit {
				t.Fatalf("%d retries in a window of %d requests, want at most %.1f", n, of, limit)
			}
		}
	})
}

func countInWindow(list []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range list {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

// TestLargeShareRequestsNoTransfer checks that daemons of a small fleet, whose shares are many
// retries, do not request transfers.
func TestLargeShareRequestsNoTransfer(t *testing.T) {
	b := routing.NewRetryBudgets(routing.RetryRule{Extra: 56, Window: 10 * time.Second}, 8)
	for b.SpendRetry("s", epoch) {
	}
	if missing := b.TransferNeeded("s", 0, epoch); missing != 0 {
		t.Errorf("requests a transfer of %v", missing)
	}
	if granted := b.GrantTransfer("s", 1, epoch); granted >= 1 {
		t.Errorf("transfers %v although its budget is spent", granted)
	}
}
