// This file samples the resident memory of the daemons' processes, and describes how a process ended that ended by itself.
//
// Inputs: the status that the operating system shows of a process, its settings' limit, its end and its log.
//
//  1. Each process is sampled every memoryInterval. The peak that the system keeps is read too, so that no moment is missed.
//  2. A process whose resident memory exceeds its settings' memory_mb is a violation, once for each daemon.
//  3. A process that ended by itself ended for its memory if its peak exceeded the limit, if its log says that none was left,
//     or if the system killed it, which it does to processes that exceed their memory.

package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryInterval is the interval between two samples of a process.
	memoryInterval = 100 * time.Millisecond
	megabyte       = 1 << 20
	// maxLogTail is how many bytes at the end of a log are read for the cause of a process's end. A trace of all
	// goroutines follows the cause.
	maxLogTail = 4 * megabyte
)

// memorySample is the resident memory of a process, in bytes.
type memorySample struct{ resident, peak int64 }

// exceeds reports whether the memory was ever above a limit in megabytes.
func (m memorySample) exceeds(limitMB int64) bool { return max(m.resident, m.peak) > limitMB*megabyte }

// readMemory reads the memory of a process. It returns false if the process has ended.
func readMemory(pid int) (memorySample, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return memorySample{}, false
	}
	return parseMemory(text)
}

// parseMemory parses the status of a process, which gives memory in kilobytes. It returns false if it gives none.
func parseMemory(status []byte) (memorySample, bool) {
	var m memorySample
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		name, rest, _ := strings.Cut(lines.Text(), ":")
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		switch {
		case err != nil:
		case name == "VmRSS":
			m.resident = kilobytes << 10
		case name == "VmHWM":
			m.peak = kilobytes << 10
		}
	}
	return m, m.resident > 0
}

// watchMemory samples a process until it has ended, and reports when it exceeds its memory.
func (d *daemon) watchMemory(pid int, exited <-chan struct{}) {
	for {
		m, ok := readMemory(pid)
		if ok {
			d.mu.Lock()
			d.memory = m
			d.mu.Unlock()
			d.fleet.ledger.HasMemory("d"+itoa(d.number), m, time.Now())
		}
		select {
		case <-exited:
			return
		case <-time.After(memoryInterval):
		}
	}
}

// HasMemory records the memory of a daemon's process, which breaks a guarantee if it exceeds memoryMB.
func (l *Ledger) HasMemory(daemon string, m memorySample, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxMemory = max(l.maxMemory, m.resident, m.peak)
	if m.exceeds(memoryMB) {
		l.terminations = append(l.terminations, Violation{
			Promise: "RUNS", Subject: "memory " + daemon, At: at,
			Detail: fmt.Sprintf("resident memory of %d MB, at most %d MB, memory_mb is %d", m.resident/megabyte, m.peak/megabyte, memoryMB),
		})
	}
}

// MaxMemory returns the largest resident memory of a daemon's process, in bytes.
func (l *Ledger) MaxMemory() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxMemory
}

// describeEnd describes the end of a process that ended by itself, by its log since the process started.
func describeEnd(err error, m memorySample, log []byte) string {
	what := "exit status 0"
	if err != nil {
		what = err.Error()
	}
	cause := ""
	for line := range bytes.Lines(log) {
		if bytes.HasPrefix(line, []byte("panic: ")) || bytes.HasPrefix(line, []byte("fatal error: ")) {
			cause = string(bytes.TrimSpace(line))
		}
	}
	if cause != "" {
		what += ": " + cause
	}
	var exit *exec.ExitError
	wasKilled := false
	if errors.As(err, &exit) {
		status, ok := exit.Sys().(syscall.WaitStatus)
		wasKilled = ok && status.Signaled() && status.Signal() == syscall.SIGKILL
	}
	if m.exceeds(memoryMB) || strings.Contains(cause, "out of memory") || wasKilled {
		what += fmt.Sprintf("; it was the memory: its resident memory was %d MB at most, memory_mb is %d", max(m.resident, m.peak)/megabyte, memoryMB)
	}
	return what
}

// logSince returns the log of the process since an offset, or its end if that is long.
func (d *daemon) logSince(offset int64) []byte {
	f, err := os.Open(d.logFile())
	if err != nil {
		return nil // the report then names no cause
	}
	defer f.Close()
	if info, err := f.Stat(); err == nil {
		offset = max(offset, info.Size()-maxLogTail)
	}
	text, _ := io.ReadAll(io.NewSectionReader(f, offset, maxLogTail))
	return text
}
