package soak

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestParseMemory guards against a limit that is never judged because the status of a process is misread.
func TestParseMemory(t *testing.T) {
	status := "Name:\thingewinchd\nVmPeak:\t 1300000 kB\nVmHWM:\t  220160 kB\nVmRSS:\t  102400 kB\nThreads:\t12\n"
	m, ok := parseMemory([]byte(status))
	if want := (memorySample{resident: 100 * megabyte, peak: 215 * megabyte}); !ok || m != want {
		t.Errorf("parsed %+v, %t, want %+v", m, ok, want)
	}
	if _, ok := parseMemory([]byte("Name:\thingewinchd\nState:\tZ (zombie)\n")); ok {
		t.Error("a process that has ended has memory")
	}
	if m, ok := readMemory(os.Getpid()); !ok || m.resident <= 0 || m.peak <= 0 {
		t.Errorf("memory of this process: %+v, %t", m, ok)
	}
}

// TestMemoryAboveTheLimitIsReported guards against a daemon that exceeds its memory only for a moment.
func TestMemoryAboveTheLimitIsReported(t *testing.T) {
	for _, c := range []struct {
		m      memorySample
		broken bool
	}{
		{memorySample{resident: memoryMB * megabyte, peak: memoryMB * megabyte}, false},
		{memorySample{resident: memoryMB*megabyte + 1, peak: memoryMB*megabyte + 1}, true},
		{memorySample{resident: 50 * megabyte, peak: memoryMB*megabyte + 1}, true},
	} {
		l := newLedger(defaultBounds())
		l.HasMemory("d3", c.m, at(100))
		found := l.Check(at(101))
		if broken := len(found) == 1 && found[0].Promise == "RUNS" && found[0].Subject == "memory d3"; broken != c.broken {
			t.Errorf("%+v: found %v, want a violation: %t", c.m, found, c.broken)
		}
	}
}

// TestDescribeEnd guards against a report of a daemon that ended by itself and does not name the memory, or names it
// wrongly.
func TestDescribeEnd(t *testing.T) {
	small := memorySample{resident: 40 * megabyte, peak: 50 * megabyte}
	for _, c := range []struct {
		name     string
		err      error
		m        memorySample
		log      string
		memory   bool
		contains string
	}{
		{name: "a panic", err: errors.New("exit status 2"), m: small, log: "{\"message\":\"out of memory\"}\npanic: index out of range\n\ngoroutine 1:\n", contains: "exit status 2: panic: index out of range"},
		{name: "no error", m: small, contains: "exit status 0"},
		{name: "no memory left", err: errors.New("exit status 2"), m: small, log: "fatal error: runtime: out of memory\n", memory: true},
		{name: "more than the limit", err: errors.New("exit status 2"), m: memorySample{resident: 10, peak: 250 * megabyte}, memory: true, contains: "250 MB"},
		{name: "killed by the system", err: killedProcess(t), m: small, memory: true, contains: "signal: killed"},
	} {
		got := describeEnd(c.err, c.m, []byte(c.log))
		if strings.Contains(got, "it was the memory") != c.memory || !strings.Contains(got, c.contains) {
			t.Errorf("%s: %q", c.name, got)
		}
	}
}

// killedProcess returns the error of a process that was killed.
func killedProcess(t *testing.T) error {
	t.Helper()
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	return cmd.Wait()
}
