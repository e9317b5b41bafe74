package soak

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestOnlySoakStartsProcesses checks that no package but this one imports os/exec: no process
// of the system starts another one.
func TestOnlySoakStartsProcesses(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	importers := make(map[string]bool)
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			if i.Path.Value == `"os/exec"` {
				inside, _ := filepath.Rel(root, filepath.Dir(path))
				importers[filepath.ToSlash(inside)] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(importers) != 1 || !importers["internal/soak"] {
		t.Errorf("os/exec is imported by %v, want only internal/soak", importers)
	}
}
