// This file has processes started by review/play-2.sh, which is the parent of this one, and observes their ends.

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// endPoll is how often it is checked whether a process has ended.
const endPoll = 3 * time.Millisecond

// starter asks the script for processes, one at a time.
type starter struct {
	mu    sync.Mutex
	reply *bufio.Reader
}

// start starts a process of a kind. log is the file of its output.
func (s *starter) start(kind, log string, args ...string) (pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reply == nil {
		s.reply = bufio.NewReader(os.Stdin)
	}
	_, err := fmt.Println(kind, log, strings.Join(args, " "))
	check(err)
	line, err := s.reply.ReadString('\n')
	check(err)
	pid, err = strconv.Atoi(strings.TrimSpace(line))
	check(err)
	return pid
}

// ended returns a channel that is closed when a process has ended.
func ended(pid int) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for syscall.Kill(pid, 0) == nil {
			time.Sleep(endPoll)
		}
	}()
	return done
}

// reports takes the connections on which replicas say what they do. The first line of each is the replica's id.
type reports struct {
	listener net.Listener
	mu       sync.Mutex
	waiting  map[string]chan net.Conn
}

func openReports() (*reports, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &reports{listener: l, waiting: make(map[string]chan net.Conn)}
	go r.accept()
	return r, nil
}

func (r *reports) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			id := make([]byte, idBytes)
			if _, err := c.Read(id); err != nil {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			if to := r.waiting[string(id)]; to != nil {
				to <- c
			}
		}()
	}
}

// idBytes is the length of a replica's id.
const idBytes = len("i-01")

// await returns a channel that gets the connection of a replica that is about to start.
func (r *reports) await(id string) <-chan net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	to := make(chan net.Conn, 1)
	r.waiting[id] = to
	return to
}
