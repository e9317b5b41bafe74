// This file finds times in which a process of a run stood still although the run did not stop it: it got no processor.
//
// Inputs: how long each thread of a process has waited for a processor, as the operating system counts it, sampled every
// stallInterval; and how late this process's own timer fires. The count of a thread rises when a wait ends, by the whole wait.
//
//  1. The waits of a thread between two samples take no longer than the time between them, but for the first one, which may have
//     begun before. If the count rose by more than that time, the thread waited for the difference before the first sample, at a
//     stretch. If that is minStall or longer, its process is taken to have stood still meanwhile: in a Go program, what the thread
//     was to run next, and what it held, waits with it.
//  2. If the timer fires minStall late or later, this process stood still, and with it all callers, links and replicas. A
//     machine that is suspended shows only by this.
//
// No count of a daemon's own plays a part, so that a daemon that is slow or blocked by itself is not taken for one that stood
// still.

package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	stallInterval = 20 * time.Millisecond
	// minStall is the least that rule 1 shows of a wait, which is up to stallInterval longer. With 50 ms, requests that met
	// several waits of 60 to 80 ms, of their daemon and of the run, were taken for queued ones.
	minStall = 20 * time.Millisecond
	// disturbingStall is a stall after which the bounds are those of a disturbed daemon: several times what daemons wait for a
	// coordinator.
	disturbingStall = 100 * time.Millisecond
	// ownProcess stands for the process of the run among the numbers of daemons.
	ownProcess = -1
)

// threadWaits are the times for which the threads of a process have waited for a processor, by thread.
type threadWaits map[string]time.Duration

// readThreadWaits returns the waits of a process, which are empty if it has ended.
func readThreadWaits(pid int) threadWaits {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	out := make(threadWaits, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		if wait, ok := parseThreadWait(text); ok {
			out[file] = wait
		}
	}
	return out
}

// parseThreadWait returns the second figure of a schedstat file, which is the wait in nanoseconds.
func parseThreadWait(schedstat []byte) (time.Duration, bool) {
	fields := strings.Fields(string(schedstat))
	if len(fields) < 2 {
		return 0, false
	}
	ns, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(ns), err == nil
}

// stallBefore returns for how long a process stood still until the first of two samples, by rule 1; 0: it did not.
func stallBefore(first, second threadWaits, between time.Duration) time.Duration {
	var longest time.Duration
	for thread, wait := range second {
		if before, ok := first[thread]; ok {
			longest = max(longest, wait-before-between)
		}
	}
	if longest < minStall {
		return 0
	}
	return longest
}

// watchStalls samples the processes of a run until ctx is done.
func (s *site) watchStalls(ctx context.Context) {
	for _, d := range s.fleet.daemons {
		go watchThreads(ctx, s.ledger, d.number, func() int {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.process.Pid
		})
	}
	go watchThreads(ctx, s.ledger, ownProcess, os.Getpid)
	for at := time.Now(); ctx.Err() == nil; {
		pause(ctx, stallInterval)
		now := time.Now()
		if late := now.Sub(at) - stallInterval; late >= minStall {
			s.ledger.StoodStill(ownProcess, now.Add(-late), now)
		}
		at = now
	}
}

func watchThreads(ctx context.Context, l *Ledger, number int, pid func() int) {
	var before threadWaits
	var at time.Time
	for ctx.Err() == nil {
		pause(ctx, stallInterval)
		waits, now := readThreadWaits(pid()), time.Now()
		if stall := stallBefore(before, waits, now.Sub(at)); stall > 0 {
			l.StoodStill(number, at.Add(-stall), at)
		}
		before, at = waits, now
	}
}

// StoodStill records that the process of a daemon, or the run's own, stood still although nothing stopped it.
func (l *Ledger) StoodStill(number int, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls[number] = append(l.stalls[number], span{from, to})
}

// StallCount is how often processes stood still for minStall or longer, and the longest time.
type StallCount struct {
	Count   int           `json:"count"`
	Longest time.Duration `json:"longest"`
}

// Stalls returns how often processes stood still.
func (l *Ledger) Stalls() StallCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n StallCount
	for _, list := range l.stalls {
		n.Count += len(list)
		for _, s := range list {
			n.Longest = max(n.Longest, s.to.Sub(s.from))
		}
	}
	return n
}

// stalledFor returns for how long the process of a daemon, or the run's own, stood still in a time.
func (o *observations) stalledFor(daemon int, from, to time.Time) time.Duration {
	list := slices.Concat(o.stalls[daemon], o.stalls[ownProcess])
	slices.SortFunc(list, func(a, b span) int { return a.from.Compare(b.from) })
	var sum time.Duration
	for _, s := range list {
		if s.from.Before(from) {
			s.from = from
		}
		if s.to.After(to) {
			s.to = to
		}
		if s.to.After(s.from) {
			sum += s.to.Sub(s.from)
			from = s.to // the processes may have stood still at the same time
		}
	}
	return sum
}

// hasStalled reports whether any process stood still for disturbingStall or longer in a time.
func (o *observations) hasStalled(from, to time.Time) bool {
	for _, list := range o.stalls {
		for _, s := range list {
			if s.to.Sub(s.from) >= disturbingStall && s.from.Before(to) && s.to.After(from) {
				return true
			}
		}
	}
	return false
}
