package relay

import (
	"context"
	"errors"
	"testing"

	"hingewinch.org/hingewinch/coordination"
)

// TestPartialWriteMayHaveRun checks the outcome of a failed write: the request counts as not run
// only if not a single byte of it was written.
func TestPartialWriteMayHaveRun(t *testing.T) {
	x := &exchange{}
	failed := errors.New("broken pipe")
	if o := x.writeFailure(context.Background(), 0, failed).outcome; !coordination.MayRetry(o) {
		t.Errorf("nothing written: %T", o)
	}
	if o := x.writeFailure(context.Background(), 1, failed).outcome; coordination.MayRetry(o) {
		t.Errorf("one byte written: %T", o)
	}
	if f := x.writeFailure(context.Background(), 10, nil); f != nil {
		t.Errorf("all written: %v", f)
	}
}
