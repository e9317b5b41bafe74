package routes

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// useUpFiles lowers the limit of open files and opens files until it is reached. The result undoes that.
func useUpFiles(t *testing.T) (undo func()) {
	t.Helper()
	const spare = 64
	var former unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &former); err != nil {
		t.Fatal(err)
	}
	first, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(first + spare), Max: former.Max}); err != nil {
		t.Fatal(err)
	}
	open := []int{first}
	for {
		fd, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if err != nil {
			break
		}
		open = append(open, fd)
	}
	return func() {
		for _, fd := range open {
			_ = unix.Close(fd)
		}
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &former); err != nil {
			t.Error(err)
		}
	}
}

// TestAcceptErrorsAreLogged guards against a daemon that accepts no connections, since it has too many open files, and
// says nothing of it.
func TestAcceptErrorsAreLogged(t *testing.T) {
	var out bytes.Buffer
	m := newMetrics()
	l := newLog(&out, "info", "d", m)
	server := listenForTest(t, l)
	server.Server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	failed := make(chan error, 1)
	go server.Serve(failed)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	undo := useUpFiles(t)
	err = unix.Connect(fd, &unix.SockaddrInet4{Port: server.Socket.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}})
	for until := time.Now().Add(2 * time.Second); m.AcceptErrors.Count() < 3 && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	undo()
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Timeout: 5 * time.Second}
	if resp, err := client.Get("http://" + server.Address()); err != nil {
		t.Error(err)
	} else {
		_ = resp.Body.Close()
	}
	counted := m.AcceptErrors.Count()
	server.Close()
	lines := linesOf(t, l, &out)
	if counted < 3 || m.AcceptErrors.Count() != counted {
		t.Errorf("%d errors are counted, %d after the listener was closed; want 3 or more, and no others", counted, m.AcceptErrors.Count())
	}
	if len(lines) == 0 || int64(len(lines)) >= counted {
		t.Fatalf("%d lines for %d errors, want one a second: %v", len(lines), counted, lines)
	}
	if text, _ := lines[0]["error"].(string); !strings.Contains(text, "too many open files") || lines[0]["listener"] != server.Address() {
		t.Errorf("got %v", lines[0])
	}
}
