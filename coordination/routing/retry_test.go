package routing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/internal/golden"
)

// retryCase is one combination of the inputs of the retry decision.
type retryCase struct {
	route           routing.Route
	earlier         coordination.Outcome // of the earlier attempts
	outcome         coordination.Outcome // of the attempt that has just failed
	responseStarted bool                 // the caller has received the first bytes of a response
	sent            int                  // replicas that the request was written to
	budget          bool                 // the retry budget has capacity
	timeLeft        bool
}

// decide evaluates the retry rules for a case, in the order in which the relay does.
func (c retryCase) decide() (again bool, final coordination.Outcome) {
	now := time.Unix(1_000_000, 0)
	deadline := now.Add(time.Minute)
	if !c.timeLeft {
		deadline = now
	}
	rule := routing.RetryRule{Window: time.Minute}
	if c.budget {
		rule.Extra = 100
	}
	a := routing.Attempts{Route: &c.route, ResponseStarted: c.responseStarted, Sent: c.sent, Outcome: c.earlier}
	if !a.RecordFailure(c.outcome) || !a.InTime(deadline, now) {
		return false, a.Outcome
	}
	return a.MaySend(routing.NewRetryBudgets(rule, 1), "s", now), a.Outcome
}

// brokenResponse is the outcome of an earlier attempt that may have run.
var brokenResponse = coordination.MayHaveRun{Reason: coordination.ReasonBrokenAnswer}

func outcomeText(o coordination.Outcome) string {
	switch o := o.(type) {
	case coordination.NotRun:
		return fmt.Sprintf("%s/%s/%s", coordination.OutcomeName(o), o.Reason, o.RetryAfter)
	case coordination.MayHaveRun:
		return fmt.Sprintf("%s/%s", coordination.OutcomeName(o), o.Reason)
	}
	return "none"
}

// retryCases returns all combinations. A test of the relay checks that nothing is sent for a
// caller that has disconnected.
func retryCases() []retryCase {
	var out []retryCase
	both := []bool{false, true}
	none := coordination.NotRun{Reason: coordination.ReasonNoUpstream, RetryAfter: routing.RetryAfter}
	for _, route := range []routing.Route{{Name: "once"}, {Name: "repeatable", Kind: routing.Idempotent}, {Name: "stream", Kind: routing.Stream}, {Name: "resumable", Kind: routing.Stream, Resumable: true}} {
		for _, route.MaxAttempts = range []int{1, 2} {
			for _, earlier := range []coordination.Outcome{none, brokenResponse} {
				for _, outcome := range []coordination.Outcome{coordination.NotRun{Reason: coordination.ReasonConnect}, coordination.MayHaveRun{Reason: coordination.ReasonNoAnswer}} {
					for _, begun := range both {
						for sent := range 3 {
							for _, budget := range both {
								for _, left := range both {
									out = append(out, retryCase{route, earlier, outcome, begun, sent, budget, left})
								}
							}
						}
					}
				}
			}
		}
	}
	return out
}

func (c retryCase) String() string {
	return fmt.Sprintf("%s attempts=%d/%d earlier=%s now=%s begun=%t budget=%t time=%t",
		c.route.Name, c.sent, c.route.MaxAttempts, outcomeText(c.earlier), outcomeText(c.outcome), c.responseStarted, c.budget, c.timeLeft)
}

// TestRetryDecision compares the decision for every combination, one per line, with the golden
// file.
func TestRetryDecision(t *testing.T) {
	var b strings.Builder
	for _, c := range retryCases() {
		again, final := c.decide()
		fmt.Fprintf(&b, "%s: again=%t final=%s\n", c, again, outcomeText(final))
	}
	golden.Compare(t, "retry.txt", b.String())
}

// TestRefusalReason checks the reasons of requests for which there is no
// replica, and that they do not replace a more specific outcome.
func TestRefusalReason(t *testing.T) {
	warm := routing.Replica{ID: "w"}
	cold, resting := routing.Replica{ID: "c", ColdUntil: epoch.Add(time.Second)}, routing.Replica{ID: "r"}
	placer := &routing.Placer{Backoffs: routing.NewBackoffs()}
	placer.Backoffs.Record(&resting, time.Second, "q", epoch)
	for _, c := range []struct {
		name string
		pool routing.Pool
		want coordination.Reason
	}{
		{"no replicas", routing.Pool{}, coordination.ReasonNoUpstream},
		{"all evacuated", routing.Pool{Evacuated: []routing.Replica{warm}}, coordination.ReasonEvacuated},
		{"all cold", routing.Pool{Ready: []routing.Replica{cold}}, coordination.ReasonCold},
		{"one is backing off, others have terminated", routing.Pool{Ready: []routing.Replica{warm, resting}}, coordination.ReasonBackingOff},
		{"one warm and failing", routing.Pool{Ready: []routing.Replica{warm, cold}, Evacuated: []routing.Replica{warm}}, coordination.ReasonNoUpstream},
	} {
		v := &routing.View{Pools: map[routing.ServiceName]*routing.Pool{"s": &c.pool}}
		a := routing.NewAttempts(&routing.Route{MaxAttempts: 1})
		a.RecordNoReplica(placer.NoReplicaReason(v, &routing.Request{Service: "s"}, routing.Tried{}, epoch))
		if got, ok := a.Outcome.(coordination.NotRun); !ok || got.Reason != c.want || got.RetryAfter <= 0 {
			t.Errorf("%s: outcome %s, want %s", c.name, outcomeText(a.Outcome), c.want)
		}
		a.Outcome = brokenResponse
		a.RecordNoReplica(placer.NoReplicaReason(v, &routing.Request{Service: "s"}, routing.Tried{}, epoch))
		if a.Outcome != coordination.Outcome(brokenResponse) {
			t.Errorf("%s: outcome of a request that may have run changed to %s", c.name, outcomeText(a.Outcome))
		}
	}
}

// TestReplicasThatAreNotReached guards against requests that are refused because a daemon that has lost its links has
// chosen as many replicas as a request may be sent to, and against requests that are tried all over a service.
func TestReplicasThatAreNotReached(t *testing.T) {
	const most = routing.MaxChoices
	for _, c := range []struct {
		name              string
		chosen, unreached int
		links             routing.LinkState
		want              bool
	}{
		{"none chosen", 0, 0, routing.LinksUp, true},
		{"the last", most - 1, 0, routing.LinksUp, true},
		{"all chosen", most, 0, routing.LinksDown, false},
		{"none reached, links up", most, most, routing.LinksUp, false},
		{"one not reached, links suspect", most, 1, routing.LinksSuspect, true},
		{"none reached, links down", most, most, routing.LinksDown, true},
		{"the last of those not reached", most + routing.MaxUnreached - 1, most + routing.MaxUnreached - 1, routing.LinksDown, true},
		{"none reached of as many as may be", most + routing.MaxUnreached, most + routing.MaxUnreached, routing.LinksDown, false},
	} {
		if got := routing.MayChoose(c.chosen, c.unreached, c.links); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestUnnumberedEventsAreNotSentAgain guards against a stream of which the caller has events without numbers, and that a
// second replica sends again from the last number.
func TestUnnumberedEventsAreNotSentAgain(t *testing.T) {
	resumable := routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 3}
	for _, unknown := range []bool{false, true} {
		a := routing.Attempts{Route: &resumable, ResponseStarted: true, Sent: 1, PositionUnknown: unknown}
		if got := a.RecordFailure(brokenResponse); got == unknown {
			t.Errorf("position unknown %t: another attempt %t", unknown, got)
		}
		if _, got := a.EventTimeout(); got == unknown {
			t.Errorf("position unknown %t: failover from a silent replica %t", unknown, got)
		}
		if got := a.AllowReturn(); got == unknown {
			t.Errorf("position unknown %t: return %t", unknown, got)
		}
	}
}

// TestReturnAfterBreak guards against streams that end although the replica that had them first may go on, and against returns
// that make a request run more than once more often than the route allows replicas.
func TestReturnAfterBreak(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	resumable := routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}
	for _, c := range []struct {
		name    string
		route   routing.Route
		begun   bool
		sent    int
		crashed bool
		extra   float64 // retries in the budget
		want    bool
	}{
		{"a stream that has begun", resumable, true, 2, false, 100, true},
		{"one that has not begun", resumable, false, 2, false, 100, false},
		{"one whose route allows a further replica", resumable, true, 1, false, 100, false},
		{"one under which the replica crashed", resumable, true, 2, true, 100, false},
		{"one without a retry in the budget", resumable, true, 2, false, 0, false},
		{"one that can't be resumed", routing.Route{Kind: routing.Stream, MaxAttempts: 2}, true, 2, false, 100, false},
	} {
		b := routing.NewRetryBudgets(routing.RetryRule{Extra: c.extra, Window: time.Minute}, 1)
		a := routing.Attempts{Route: &c.route, ResponseStarted: c.begun, Sent: c.sent}
		returns := a.AllowReturnAfterBreak(c.crashed) && a.MaySend(b, "s", now)
		if returns != c.want {
			t.Errorf("%s: returns %t, want %t", c.name, returns, c.want)
		}
		if !returns {
			continue
		}
		a.CountSend()
		if a.Sent != c.sent {
			t.Errorf("%s: the return counts as a further replica", c.name)
		}
		if a.AllowReturnAfterBreak(false) || a.AllowReturn() {
			t.Errorf("%s: returns twice", c.name)
		}
		if a.ExcludeLast(); a.MaySend(b, "s", now) {
			t.Errorf("%s: is sent to a further replica since the link of its return is down", c.name)
		}
	}
}
