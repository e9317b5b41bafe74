// Package layout tests the dependencies between packages: each layer imports only its own packages and
// those of lower layers, and the two front ends do not import each other. It also tests which clocks
// packages use.
package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const module = "hingewinch.org/hingewinch/"

// layers are the top-level folders, from the lowest layer to the highest. A package imports
// only from its own layer and lower ones.
var layers = []string{"state", "coordination", "protocol", "transport", "platform", "daemon", "cmd"}

// forbidden lists imports that are not allowed although the layers permit them.
var forbidden = []struct{ from, to, reason string }{
	{"coordination/routing", "coordination/fleet", "the front ends share no decision logic"},
	{"coordination/membership", "coordination/fleet", "the front ends share no decision logic"},
	{"coordination/fleet", "coordination/routing", "the front ends share no decision logic"},
	{"coordination/fleet", "coordination/membership", "the front ends share no decision logic"},
	{"transport/relay", "transport/gateway", "the front ends share no transport code"},
	{"transport/gateway", "transport/relay", "the front ends share no transport code"},
	{"daemon/routes", "daemon/openai", "the daemons are assembled independently"},
	{"daemon/routes", "transport/gateway", "the daemons are assembled independently"},
	{"daemon/routes", "coordination/fleet", "the daemons are assembled independently"},
	{"daemon/openai", "daemon/routes", "the daemons are assembled independently"},
	{"daemon/openai", "transport/relay", "the daemons are assembled independently"},
	{"daemon", "platform", "only commands select the platform"},
	{"coordination", "net", "decision logic does no I/O"},
	{"coordination", "os", "decision logic does no I/O"},
}

func TestImportsFollowLayers(t *testing.T) {
	packages := 0
	for from, imports := range productImports(t) {
		packages++
		level := layerOf(from)
		if level < 0 {
			t.Errorf("%s belongs to no layer; add its folder to layers", from)
		}
		for _, to := range imports {
			if l := layerOf(to); l > level {
				t.Errorf("%s imports %s, which is in a higher layer", from, to)
			}
			for _, f := range forbidden {
				if isWithin(from, f.from) && isWithin(to, f.to) {
					t.Errorf("%s imports %s: %s", from, to, f.reason)
				}
			}
		}
	}
	if packages < 20 {
		t.Errorf("only %d packages were checked, want at least 20", packages)
	}
}

// layerOf returns the index of a package's layer, or -1 if it belongs to none.
func layerOf(pkg string) int {
	for i, l := range layers {
		if isWithin(pkg, l) {
			return i
		}
	}
	return -1
}

// isWithin reports whether a package is in a folder or one of its subfolders.
func isWithin(pkg, folder string) bool { return pkg == folder || strings.HasPrefix(pkg, folder+"/") }

// productImports returns the imports of the product's packages, by folder, without those of
// tests. Imports from this module are relative to its root.
func productImports(t *testing.T) map[string][]string {
	t.Helper()
	root := filepath.Join("..", "..")
	out := make(map[string][]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if rel != "." && strings.HasPrefix(d.Name(), ".") || rel == "internal" || rel == "target" || rel == "journal" || rel == filepath.Join("platform", "standin") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		folder := filepath.ToSlash(filepath.Dir(rel))
		for _, i := range f.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			out[folder] = append(out[folder], strings.TrimPrefix(name, module))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestAgesUseSuspensionAwareClock checks the sources of the production front end: ages and deadlines
// must use transport/clock, which also counts the time in which the VM is suspended. The runtime's clock is
// allowed only in the listed places, for the time of day and for waits of the runtime itself.
func TestAgesUseSuspensionAwareClock(t *testing.T) {
	allowed := map[string]int{
		"daemon/routes/daemon.go": 1, // the incarnation number
	}
	runtimeClock := regexp.MustCompile(`time\.(Now|Since|Until)\(`)
	for _, folder := range []string{"transport/relay", "daemon/routes", "platform"} {
		files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(folder), "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal("no source files in", folder, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			name := folder + "/" + filepath.Base(file)
			if n := len(runtimeClock.FindAll(text, -1)); n != allowed[name] {
				t.Errorf("%s reads the runtime's clock %d times, want %d; use transport/clock", name, n, allowed[name])
			}
		}
	}
}

// timeOfDay matches calls that convert a time to a Unix time.
var timeOfDay = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)`)

// TestDecisionsUseMonotonicClock checks that no decision depends on the time of day, which can jump by
// seconds in either direction: a window of the retry budget would then forget the retries it counted.
func TestDecisionsUseMonotonicClock(t *testing.T) {
	for _, folder := range []string{"coordination/routing", "coordination/membership"} {
		files, err := filepath.Glob(filepath.Join("..", "..", folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal(folder, err)
		}
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(file, "_test.go") && timeOfDay.Match(source) {
				t.Errorf("%s uses the time of day; use differences between times", file)
			}
		}
	}
}
