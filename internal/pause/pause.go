// Package pause simulates a pause of the process, as of a VM that is suspended, for tests of deadlines that pass
// meanwhile.
//
// # Usage
//
//	address := pause.Start(t, "HTTP/1.1 200 OK\\r\\n\\r\\n", time.Second)
//	... send a request to address ...
package pause

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"
)

// script stops the process $1, writes $2 to the connection a moment later, and lets the process go on after $3 seconds.
const script = `kill -STOP "$1"; sleep 0.05; printf "$2" >&3; sleep "$3"; kill -CONT "$1"`

// Start starts a server that, once it has received bytes, pauses the test's process for some time, in which reply
// arrives. The backslashes of reply are escapes of printf.
func Start(t testing.TB, reply string, length time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
		file, err := c.(*net.TCPConn).File()
		if err != nil {
			t.Error(err)
			return
		}
		defer file.Close()
		cmd := exec.Command("sh", "-c", script, "sh", fmt.Sprint(os.Getpid()), reply, fmt.Sprint(length.Seconds()))
		cmd.ExtraFiles = []*os.File{file}
		if err := cmd.Run(); err != nil {
			t.Error(err)
		}
	}()
	return l.Addr().String()
}
