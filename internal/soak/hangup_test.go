package soak

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestHangUpWhileStarting guards against a daemon that a SIGHUP ends because it has not yet read its settings.
func TestHangUpWhileStarting(t *testing.T) {
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	var stderr strings.Builder
	cmd := exec.Command(buildOwnDaemon(t), "--front", "routes", "--settings", file)
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // waits until the daemon opens it
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.WriteString("id: [\n"); err != nil {
		t.Error(err)
	}
	_ = settings.Close()
	_ = cmd.Wait() // the settings are not valid
	if !cmd.ProcessState.Exited() || stderr.Len() == 0 {
		t.Errorf("the daemon ended by %v, want an error about its settings", cmd.ProcessState)
	}
}

// TestSettingsAreReplacedWhole guards against a daemon that starts while its settings are written, and reads an empty file.
func TestSettingsAreReplacedWhole(t *testing.T) {
	f := &fleet{dir: t.TempDir(), network: "127.1.1", ports: []int{1, 2, 3, 4}, ctx: context.Background()}
	store, err := openLink("127.0.0.1:0", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	d := &daemon{fleet: f, file: filepath.Join(f.dir, "daemon-0.yaml"), store: store}
	if err := d.writeSettings(BuildCurrent); err != nil {
		t.Fatal(err)
	}
	s := &injector{site: &site{ledger: newLedger(defaultBounds()), fleet: f}, ctx: f.ctx}
	for _, c := range []struct {
		name  string
		write func()
	}{
		{"a reload", func() { s.hangUp(d, 7) }},
		{"a start", func() { _ = d.writeSettings(BuildCurrent) }},
	} {
		former, err := os.ReadFile(d.file)
		if err != nil {
			t.Fatal(err)
		}
		reading, err := os.Open(d.file)
		if err != nil {
			t.Fatal(err)
		}
		c.write()
		read, err := io.ReadAll(reading)
		_ = reading.Close()
		if err != nil || string(read) != string(former) {
			t.Errorf("%s: a process that had opened the former file read %q, %v", c.name, read, err)
		}
		if now, err := os.ReadFile(d.file); err != nil || string(now) == string(former) {
			t.Errorf("%s: the file is unchanged (%v)", c.name, err)
		}
	}
}
