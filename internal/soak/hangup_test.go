package soak

import (
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
