// Package golden compares text with files that hold a published form: messages
// between daemons, names that scrapers read, rules that must not change by accident.
//
// # Usage
//
//	golden.Compare(t, "metrics.txt", got)
//
// compares with testdata/golden/metrics.txt of the package under test. The flag
// -update-golden writes the file; it is for a form that is new or meant to change.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update-golden", false, "write the golden files; only for a form that is new or meant to change")

// File returns the path of a golden file.
func File(name string) string { return filepath.Join("testdata", "golden", name) }

// Compare fails the test with the first line that differs from the file's.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	file := File(name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := string(text)
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s, line %d:\ngot  %s\nwant %s", file, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s: %d lines, want %d", file, len(gotLines), len(wantLines))
}
