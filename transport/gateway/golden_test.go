package gateway_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"hingewinch.org/hingewinch/internal/golden"
	"hingewinch.org/hingewinch/transport/gateway"
)

// TestPublishedNamesAreKept guards the metric names and the JSON fields of the operators'
// responses against accidental changes.
func TestPublishedNamesAreKept(t *testing.T) {
	m := gateway.NewMetrics()
	defer m.Close()
	var got bytes.Buffer
	if err := m.WriteText(&got); err != nil {
		t.Fatal(err)
	}
	for _, a := range []any{gateway.StatusAnswer{}, gateway.EngineAnswer{}, gateway.PlaceAnswer{}} {
		text, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		got.Write(append(text, '\n'))
	}
	golden.Compare(t, "names.txt", got.String())
}
