package gateway

import (
	"errors"
	"testing"
)

// TestSealedAttemptWritesNothing seals an attempt while its writer is inside the permit
// call, as happens when a call is cancelled right before its first byte.
func TestSealedAttemptWritesNothing(t *testing.T) {
	asked, sealed := make(chan struct{}), make(chan struct{})
	a := newAttempt(func() error {
		close(asked)
		<-sealed
		return nil
	})
	result := make(chan error)
	go func() { result <- a.beforeWrite() }()
	<-asked
	if !a.Seal() {
		t.Fatal("Seal returned false for an attempt without a write")
	}
	close(sealed)
	if err := <-result; !errors.Is(err, errSealed) {
		t.Fatalf("write on a sealed attempt: got %v, want errSealed", err)
	}
}

func TestWrittenAttemptIsNotSealed(t *testing.T) {
	a := newAttempt(nil)
	if err := a.beforeWrite(); err != nil {
		t.Fatal(err)
	}
	if a.Seal() {
		t.Fatal("Seal returned true for an attempt that may have written")
	}
}
