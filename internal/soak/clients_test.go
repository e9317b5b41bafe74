package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"hingewinch.org/hingewinch/platform/standin"
)

const (
	// clientsMemoryMB is the memory of the daemon, and clientsFiles the descriptors that it may open, fewer than at the users' site,
	// so that a small crowd is enough.
	clientsMemoryMB = 120
	clientsFiles    = 4100
	clientsCrowd    = 1000
	// clientsFewFiles, clientsIdle and clientsOpenFiles are the descriptors that a daemon may open, the connections of a crowd that
	// sends nothing or whole requests, and how many descriptors the daemon may have open then.
	clientsFewFiles  = 400
	clientsIdle      = 600
	clientsOpenFiles = 350
	// clientsHeadBytes is below the limit of a head.
	clientsHeadBytes = 60 << 10
	clientsSettle    = 3 * time.Second // after which the crowd has sent all that it sends
)

// hostileForm is what each connection of a crowd sends.
type hostileForm struct {
	name     string
	listener int // index of the daemon's ports
	files    int
	crowd    int
	head     func() string // what is sent once
	endless  string        // what is sent again and again after that; empty: nothing, the connection stays open
	trickles bool          // that is sent slowly
}

// hostileForms are clients that stay within the limit of a head, or exceed it, and never send a request.
var hostileForms = []hostileForm{
	{"one line, never ended", 0, clientsFiles, clientsCrowd, func() string { return "GET / HTTP/1.1\r\nLong: " + strings.Repeat("x", clientsHeadBytes) }, "", false},
	{"short lines, never ended", 0, clientsFiles, clientsCrowd, func() string { return "GET / HTTP/1.1\r\n" + strings.Repeat("X-A: b\r\n", clientsHeadBytes/8) }, "", false},
	{"short lines of different names, never ended", 0, clientsFiles, clientsCrowd, linesOfDifferentNames, "", false},
	{"one line without end", 0, clientsFiles, clientsCrowd, func() string { return "GET / HTTP/1.1\r\nLong: " }, "x", false},
	{"empty lines without end", 0, clientsFiles, clientsCrowd, func() string { return "" }, "\r\n", false},
	{"one line, never ended, at the operators' listener", 2, clientsFiles, clientsCrowd, func() string { return "GET / HTTP/1.1\r\nLong: " + strings.Repeat("x", clientsHeadBytes) }, "", false},
	{"short lines of different names, never ended, at the peers' listener", 3, clientsFiles, clientsCrowd, linesOfDifferentNames, "", false},
	{"nothing, with few descriptors", 0, clientsFewFiles, clientsIdle, func() string { return "" }, "", false},
	{"whole requests on kept connections, with few descriptors", 0, clientsFewFiles, clientsIdle, func() string { return "GET / HTTP/1.1\r\nHost: x\r\n\r\n" }, "", false},
	{"bodies that trickle, with few descriptors", 0, clientsFewFiles, clientsIdle, func() string { return requestHead("Content-Length: 100000\r\n\r\n") }, "x", true},
	{"long heads and bodies that never come", 0, clientsFiles, clientsCrowd, func() string {
		return requestHead("Long: " + strings.Repeat("x", clientsHeadBytes) + "\r\nContent-Length: 10\r\n\r\n")
	}, "", false},
	{"nothing, at the readiness listener, with few descriptors", 1, clientsFewFiles, clientsIdle, func() string { return "" }, "", false},
}

// requestHead returns the head of a request that the daemon would serve, with further fields and its end.
func requestHead(rest string) string {
	return "POST " + prefixSafe + "x HTTP/1.1\r\nHost: " + routeHost + "\r\nAuthorization: Bearer k\r\nDeadline-Ms: 20000\r\nAttempt-Id: c\r\n" + rest
}

func linesOfDifferentNames() string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\n")
	for n := 0; b.Len() < clientsHeadBytes; n++ {
		fmt.Fprintf(&b, "A%d:\r\n", n)
	}
	return b.String()
}

// sendTo opens the crowd's connections to an address and sends what the form says, until done is closed.
func (f *hostileForm) sendTo(address string, done <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	head, piece, pause := f.head(), strings.Repeat(f.endless, 512), time.Millisecond
	if f.trickles {
		piece, pause = f.endless, 100*time.Millisecond
	}
	for range f.crowd {
		wg.Go(func() {
			c, err := net.Dial("tcp4", address)
			if err != nil {
				return // refused, as it may be
			}
			defer c.Close()
			_ = c.SetWriteDeadline(time.Now().Add(clientsSettle))
			_, err = io.WriteString(c, head)
			for err == nil && piece != "" {
				_, err = io.WriteString(c, piece)
				time.Sleep(pause)
			}
			<-done
		})
	}
	return &wg
}

// openFiles returns the number of open descriptors of a process, or 0 if it has ended.
func openFiles(pid int) int {
	list, _ := os.ReadDir("/proc/" + itoa(pid) + "/fd")
	return len(list)
}

// TestClientsWithoutLimits guards against clients that use up the memory or the descriptors of a daemon without sending a request, so that it
// is killed, or answers nobody else.
func TestClientsWithoutLimits(t *testing.T) {
	binary := buildOwnDaemon(t)
	store := standin.NewStore(50)
	endpoint, err := store.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	store.PutConfig(endlessConfig())
	r := startEndlessReplica(t, "r0", &endlessForms[0], 0)
	store.PutReplica(standin.Replica{ID: r.id, Service: serviceGate, Address: r.listener.Addr().String(), Domain: "z", Slots: 64, StartTime: time.Now().UnixMilli()})
	for _, f := range hostileForms {
		t.Run(f.name, func(t *testing.T) {
			d := startLimitedDaemon(t, binary, endpoint.Address(), clientsMemoryMB, f.files)
			done := make(chan struct{})
			crowd := f.sendTo(d.addresses[f.listener], done)
			time.Sleep(clientsSettle)
			files := openFiles(d.cmd.Process.Pid)
			outcome := d.call("ordinary", false)
			peak := d.peakMB.Load()
			close(done)
			crowd.Wait()
			t.Logf("%d MB resident at most, %d open descriptors, an ordinary request: %s", peak, files, outcome)
			if peak > clientsMemoryMB {
				t.Errorf("the daemon held %d MB of %d", peak, clientsMemoryMB)
			}
			if f.files == clientsFewFiles && files > clientsOpenFiles {
				t.Errorf("%d descriptors are open, want at most %d of %d", files, clientsOpenFiles, clientsFewFiles)
			}
			if outcome != "whole" {
				t.Errorf("an ordinary request got %q", outcome)
			}
			if openFiles(d.cmd.Process.Pid) == 0 {
				t.Error("the daemon has ended")
			}
		})
	}
}
