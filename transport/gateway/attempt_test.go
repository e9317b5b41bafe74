package gateway

import (
	"errors"
	"testing"
)

// TestSealedAttemptWritesNothing brings about the moment between an attempt's
// end and its writer's waking: the seal falls while the permit is asked.
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
		t.Fatal("an attempt that has written nothing could not be sealed")
	}
	close(sealed)
	if err := <-result; !errors.Is(err, errSealed) {
		t.Fatalf("a sealed attempt may write: %v", err)
	}
}

func TestWrittenAttemptIsNotSealed(t *testing.T) {
	a := newAttempt(nil)
	if err := a.beforeWrite(); err != nil {
		t.Fatal(err)
	}
	if a.Seal() {
		t.Fatal("an attempt that may have written was sealed")
	}
}
