// This file defines the outcomes of an attempt. There are only three kinds: an outcome
// that is not known is MayHaveRun.

package coordination

import (
	"fmt"
	"time"
)

// Outcome is how a request ended: [Answered], [NotRun] or [MayHaveRun].
type Outcome interface{ isOutcome() }

// Answered means that the upstream's complete response was received.
type Answered struct{ Status int }

// NotRun means that no byte of the request reached an upstream, or that the upstream
// reported that it did not run the request.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration
}

// MayHaveRun means that bytes of the request were written and the response is not
// known.
type MayHaveRun struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Answered) isOutcome()   {}
func (NotRun) isOutcome()     {}
func (MayHaveRun) isOutcome() {}

var (
	_ Outcome = Answered{}
	_ Outcome = NotRun{}
	_ Outcome = MayHaveRun{}
)

// Reason is the machine-readable reason of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonNoUpstream        Reason = "no_upstream"
	ReasonEvacuated         Reason = "upstreams_evacuated"
	ReasonCold              Reason = "upstreams_cold"
	ReasonBackingOff        Reason = "upstreams_resting"
	ReasonUpstreamsFull     Reason = "upstreams_full"
	ReasonOriginUnknown     Reason = "origin_unknown"
	ReasonVersionGone       Reason = "version_gone"
	ReasonQuarantined       Reason = "upstreams_end"
	ReasonPartQuarantined   Reason = "upstreams_end_on_part"
	ReasonConnect           Reason = "connect_failed"
	ReasonUpstreamBusy      Reason = "upstream_refused"
	ReasonBrokenAnswer      Reason = "answer_broken"
	ReasonNoAnswer          Reason = "no_answer"
	ReasonDeadline          Reason = "deadline"
	ReasonNoConfig          Reason = "no_configuration"
	ReasonOwnerUnreachable  Reason = "keeper_unreachable"
	ReasonOwnerNotSettled   Reason = "keeper_not_settled"
	ReasonOwnerListStale    Reason = "keeper_list_stale"
	ReasonTicketIssuerGone  Reason = "ticket_issuer_gone"
	ReasonTicketExpired     Reason = "ticket_expired"
	ReasonKeyOutcomeUnknown Reason = "earlier_attempt_unknown"
	ReasonLedgerFull        Reason = "ledger_full"
	ReasonAnswerTooLarge    Reason = "answer_too_large"
	ReasonBodiesFull        Reason = "bodies_full"
	ReasonInternal          Reason = "internal_error"
	ReasonShutdown          Reason = "daemon_stops"
)

var remedies = map[Reason]string{
	ReasonNoUpstream:        "no upstream is in service; send again after the time in Retry-After",
	ReasonEvacuated:         "operators have evacuated all that serve this; send again after the time in Retry-After",
	ReasonCold:              "all that serve this are cold and take few requests; send again after the time in Retry-After",
	ReasonBackingOff:        "all that could serve this have asked for a pause; send again after the time in Retry-After",
	ReasonUpstreamsFull:     "all that serve this are full; send again after the time in Retry-After, when a place is likely free",
	ReasonQuarantined:       "upstreams ended while they ran this request; it is held back. Change it, or ask the operators to release it",
	ReasonPartQuarantined:   "upstreams ended while they ran requests with a part of this prompt; it is held back. Leave that part out, or ask the operators to release it",
	ReasonOriginUnknown:     "it is not known at which software version this stream began, and several are in service; resume it with the id of the request that brought its first event, after the time in Retry-After, or start it anew",
	ReasonVersionGone:       "no upstream of the software version that began this stream is in service; resume it after the time in Retry-After, or start it anew",
	ReasonConnect:           "no upstream took the connection; send again after the time in Retry-After",
	ReasonUpstreamBusy:      "the upstream refused the request; send again after the time in Retry-After",
	ReasonBrokenAnswer:      "the answer broke off; check the effect before sending again",
	ReasonNoAnswer:          "the upstream gave no answer; check the effect before sending again",
	ReasonDeadline:          "the deadline passed; allow more time or send again later",
	ReasonNoConfig:          "this daemon knows no configuration yet; send again after the time in Retry-After",
	ReasonOwnerUnreachable:  "the daemon that owns this key can't be reached; repeat with the same key after the time in Retry-After",
	ReasonOwnerNotSettled:   "the daemon that owns this key took it over a short time ago; repeat with the same key after the time in Retry-After",
	ReasonOwnerListStale:    "the member list can't be confirmed; repeat with the same key later, or use a ticket for new requests",
	ReasonTicketIssuerGone:  "the daemon that issued the ticket is gone; check the effect, then take a new ticket",
	ReasonTicketExpired:     "the ticket has expired; check the effect, then take a new ticket",
	ReasonKeyOutcomeUnknown: "an earlier attempt with this key has an unknown end; check the effect before using a new key",
	ReasonLedgerFull:        "this daemon holds too many keys; repeat after the time in Retry-After",
	ReasonAnswerTooLarge:    "the answer is larger than the daemon holds; ask for a smaller or a streamed one",
	ReasonBodiesFull:        "the bodies of other requests take all memory that this daemon has for them; send again after the time in Retry-After",
	ReasonShutdown:          "this daemon shuts down and has no time left for the request; if it has not run, send it to another daemon after the time in Retry-After, otherwise check its effect first",
	ReasonInternal:          "the daemon failed while it served this request; check the effect before sending again",
}

// Remedy returns a text that tells the caller what to do.
func (r Reason) Remedy() string { return remedies[r] }

// OutcomeName returns the machine-readable name that callers see.
func OutcomeName(o Outcome) string {
	switch o.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	}
	return fmt.Sprintf("unknown outcome %T", o)
}

// MayRetry reports whether a daemon may send the request to another upstream on its
// own.
func MayRetry(o Outcome) bool {
	_, notRun := o.(NotRun)
	return notRun
}
