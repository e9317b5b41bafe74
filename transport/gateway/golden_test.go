package gateway_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"hingewinch.org/hingewinch/transport/gateway"
)

var update = flag.Bool("update-golden", false, "write the golden files anew; only for a form that is new")

// TestPublishedNamesAreKept holds the names on the metrics address and the fields
// of the operators' answers.
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
	file := filepath.Join("testdata", "golden", "names.txt")
	if *update {
		if err := os.WriteFile(file, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}
