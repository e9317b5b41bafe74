// Package golden compares text with golden files. They record published formats, such as messages
// between daemons and the names of metrics, and rules that must not change by accident.
//
// # Usage
//
//	golden.Compare(t, "metrics.txt", got)
//
// compares got with testdata/golden/metrics.txt of the package under test. The flag
// -update-golden writes the file; use it only for a format that is new or changes on purpose.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update-golden", false, "write the golden files; only for a format that is new or changes on purpose")

// File returns the path of a golden file.
func File(name string) string { return filepath.Join("testdata", "golden", name) }

// Compare fails the test if got differs from the golden file, and reports the first difference.
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
