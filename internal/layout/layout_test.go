// Package layout holds the direction of imports: each layer knows those below it,
// and the two front ends know nothing of each other.
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

// layers are the top folders from the bottom to the top. A package imports only
// from its own layer and those below.
var layers = []string{"state", "coordination", "protocol", "transport", "platform", "daemon", "cmd"}

// forbidden are imports that the layers alone would allow.
var forbidden = []struct{ from, to, why string }{
	{"coordination/routing", "coordination/fleet", "the front ends' decisions are apart"},
	{"coordination/membership", "coordination/fleet", "the front ends' decisions are apart"},
	{"coordination/fleet", "coordination/routing", "the front ends' decisions are apart"},
	{"coordination/fleet", "coordination/membership", "the front ends' decisions are apart"},
	{"transport/relay", "transport/gateway", "the front ends' transports are apart"},
	{"transport/gateway", "transport/relay", "the front ends' transports are apart"},
	{"daemon/routes", "daemon/openai", "each daemon is wired by itself"},
	{"daemon/routes", "transport/gateway", "each daemon is wired by itself"},
	{"daemon/routes", "coordination/fleet", "each daemon is wired by itself"},
	{"daemon/openai", "daemon/routes", "each daemon is wired by itself"},
	{"daemon/openai", "transport/relay", "each daemon is wired by itself"},
	{"daemon", "platform", "only commands know which platform there is"},
	{"coordination", "net", "decisions do no I/O"},
	{"coordination", "os", "decisions do no I/O"},
}

func TestImportsPointDown(t *testing.T) {
	files := 0
	for from, imports := range productImports(t) {
		files++
		level := layerOf(from)
		if level < 0 {
			t.Errorf("%s stands in no layer; add its folder to this test", from)
		}
		for _, to := range imports {
			if l := layerOf(to); l > level {
				t.Errorf("%s imports %s, a layer above it", from, to)
			}
			for _, f := range forbidden {
				if below(from, f.from) && below(to, f.to) {
					t.Errorf("%s imports %s: %s", from, to, f.why)
				}
			}
		}
	}
	if files < 20 {
		t.Errorf("only %d packages were looked at", files)
	}
}

// layerOf returns the place of a package's layer; below 0 for a package of none.
func layerOf(pkg string) int {
	for i, l := range layers {
		if below(pkg, l) {
			return i
		}
	}
	return -1
}

// below reports whether a package is a folder or stands below it.
func below(pkg, folder string) bool { return pkg == folder || strings.HasPrefix(pkg, folder+"/") }

// productImports returns the imports of the product's packages, without those of
// tests, by folder; imports of this module begin at its root.
func productImports(t *testing.T) map[string][]string {
	t.Helper()
	root := filepath.Join("..", "..")
	out := make(map[string][]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		inside, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			if inside != "." && strings.HasPrefix(d.Name(), ".") || inside == "internal" || inside == "target" || inside == "journal" || inside == filepath.Join("platform", "standin") {
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
		folder := filepath.ToSlash(filepath.Dir(inside))
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

// TestAgesGoByTheClockThatCountsSuspensions reads the sources of the front end in production:
// ages and deadlines go by transport/clock. The time of day, and the runtime's clock for the
// runtime's own waits, stand where they are named here.
func TestAgesGoByTheClockThatCountsSuspensions(t *testing.T) {
	allowed := map[string]int{
		"daemon/routes/daemon.go": 1, // the number of the incarnation
		"daemon/routes/run.go":    1, // the grace of a planned stop, which the runtime waits for
	}
	runtimeClock := regexp.MustCompile(`time\.(Now|Since|Until)\(`)
	for _, folder := range []string{"transport/relay", "daemon/routes", "platform"} {
		files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(folder), "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatal("no sources in", folder, err)
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

// timeOfDay finds what asks a time for the time of day.
var timeOfDay = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)`)

// TestDecisionsGoByTheSteadyClock holds that no decision hangs on the time of day, which may jump by
// seconds and back: a window of retries would forget what was spent.
func TestDecisionsGoByTheSteadyClock(t *testing.T) {
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
				t.Errorf("%s asks for the time of day; take differences of times", file)
			}
		}
	}
}
