package relay

import (
	"context"
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/internal/pause"
)

// TestProbeDuringPause guards against links that count as lost after a pause of the process, although the replica's
// response arrived in time: the probe's timeout passed meanwhile.
func TestProbeDuringPause(t *testing.T) {
	table, err := routing.NewTable(&routing.Config{Version: 1, Services: []routing.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		address := pause.Start(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", probeTimeout+200*time.Millisecond)
		r := New(Options{Pool: NewPool(nil), Codec: healthCodec{}})
		replica := routing.NewReplica(routing.Replica{ID: "r", Service: "s", Address: address})
		if !r.probe(context.Background(), &routing.View{Table: table}, &replica) {
			t.Error("the probe failed")
		}
	}
}
