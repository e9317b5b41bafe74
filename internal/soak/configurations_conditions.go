// This file brings the conditions of configurations.go about in a run.

package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"

	"hingewinch.org/hingewinch/platform/standin"
)

// Parameters of the conditions.
const (
	saturatedModelSlots = 7 // 18 replicas then have fewer slots than the streams that are open on average
	saturatedPlainSlots = 1
	fewConns            = 8
	linksLost           = 5 * time.Second
	storeSlow           = 3 * time.Second
	releasedAtOnce      = 3
	silentAtOnce        = 3
	// fewDescriptors is a limit that each daemon has long exceeded: descriptors that are closed meanwhile don't
	// make room for others.
	fewDescriptors = 4
	// coreShare is the share of a core of each daemon, in periods of corePeriod.
	coreShare  = 0.1
	corePeriod = 100 * time.Millisecond
	// memoryPoll is how often the memory of the daemons is looked at.
	memoryPoll = 100 * time.Millisecond
	pageBytes  = 4096
)

// modelReplica returns a replica of the model service that is not leaving.
func (w *configurationsRun) modelReplica(draw int) *pacedReplica {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.replicas {
		if r := w.replicas[(draw+k)%len(w.replicas)]; w.services[r.id] == serviceModel {
			return r
		}
	}
	return w.replicas[0]
}

// bringAbout brings a condition about once.
func (w *configurationsRun) bringAbout(f PlannedFault) {
	if w.ctx.Err() != nil {
		return
	}
	w.note("%s, %d", f.Condition, f.Target)
	d := w.fleet.daemons[f.Target%pacedDaemons]
	switch f.Condition {
	case SilentReplicas:
		for i := range silentAtOnce {
			r := w.modelReplica(f.Target + 5*i)
			r.mu.Lock()
			r.silentUntil = time.Now().Add(minSilence + rand.N(maxSilence-minSilence))
			r.mu.Unlock()
		}
	case SilentLinks:
		w.loseLinks(d, silentAll)
	case ResetLinks:
		w.loseLinks(d, resetAll)
	case NewLinksReset:
		w.loseLinks(d, resetNew)
	case NoDescriptors:
		w.limitDescriptors(d)
	case Releases:
		for i := range releasedAtOnce {
			if _, err := w.addReplica(serviceModel); err == nil {
				w.retire(w.modelReplica(f.Target + 3*i))
			}
			pause(w.ctx, 400*time.Millisecond)
		}
	case Scaling:
		for range releasedAtOnce {
			_, _ = w.addReplica(serviceModel)
		}
		pause(w.ctx, 2*time.Second)
		for i := range releasedAtOnce {
			w.retire(w.modelReplica(f.Target + 3*i))
		}
	case EndlessHeads, EndlessBodies:
		r := w.modelReplica(f.Target)
		r.mu.Lock()
		r.endless = f.Condition
		r.mu.Unlock()
	case SlowStore:
		for i, e := range w.endpoints {
			if (f.Target+i)%2 == 0 {
				e.SetMode(standin.StoreSilent)
			}
		}
		pause(w.ctx, storeSlow)
		for _, e := range w.endpoints {
			e.SetMode(standin.StoreServes)
		}
	case CrashingReplicas:
		r := w.modelReplica(f.Target)
		w.leave(r)
		r.terminate()
		_, _ = w.addReplica(serviceModel)
	}
}

func (w *configurationsRun) loseLinks(d *daemon, m partitionMode) {
	w.partitions.begin(d.ip, m)
	if m == resetAll {
		w.mu.Lock()
		for _, r := range w.replicas {
			r.link.resetFrom(d.ip)
		}
		w.mu.Unlock()
	}
	pause(w.ctx, linksLost)
	w.partitions.end(d.ip, m)
}

// leave deletes the entry of a replica.
func (w *configurationsRun) leave(r *pacedReplica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.services, r.id)
	w.store.DeleteReplica(r.id)
}

// retire announces the departure of a replica, which serves on for longer than any response takes.
func (w *configurationsRun) retire(r *pacedReplica) {
	w.mu.Lock()
	w.writeEntry(r, true)
	delete(w.services, r.id)
	w.mu.Unlock()
	go func() {
		pause(w.ctx, 2*serveAfterDeparture)
		r.terminate()
		w.store.DeleteReplica(r.id)
	}()
}

func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return 0
	}
	return d.process.Pid
}

// limitDescriptors keeps a daemon from opening descriptors for linksLost.
func (w *configurationsRun) limitDescriptors(d *daemon) {
	pid := d.pid()
	var before syscall.Rlimit
	limit := func(set, old *syscall.Rlimit) {
		// On failure the process has ended.
		_, _, _ = syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(set)), uintptr(unsafe.Pointer(old)), 0, 0)
	}
	limit(nil, &before)
	limit(&syscall.Rlimit{Cur: fewDescriptors, Max: before.Max}, nil)
	pause(w.ctx, linksLost)
	limit(&before, nil)
}

// throttle gives a daemon coreShare of a core: in each corePeriod it is suspended once it has used its share, as
// the scheduler of a VM's host does.
func (w *configurationsRun) throttle(d *daemon) {
	for w.ctx.Err() == nil {
		from, pid := time.Now(), d.pid()
		used, stopped := processorTime(pid), false
		for time.Since(from) < corePeriod {
			time.Sleep(2 * time.Millisecond)
			if !stopped && processorTime(pid)-used > time.Duration(coreShare*float64(corePeriod)) {
				stopped = true
				d.signal(syscall.SIGSTOP, false)
				w.suspensions.Add(1)
			}
		}
		if stopped {
			d.signal(syscall.SIGCONT, false)
		}
	}
}

// processorTime returns how long the threads of a process have run.
func processorTime(pid int) time.Duration {
	threads, _ := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	total := time.Duration(0)
	for _, t := range threads {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, t.Name()))
		ns, _, _ := strings.Cut(string(text), " ")
		n, _ := strconv.ParseInt(ns, 10, 64)
		total += time.Duration(n)
	}
	return total
}

// watchMemory ends a daemon that exceeds its memory, as its platform does, and records the ends of its processes
// that the plan does not ask for.
func (w *configurationsRun) watchMemory(d *daemon) {
	for incarnation := d.currentIncarnation(); w.ctx.Err() == nil; pause(w.ctx, memoryPoll) {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.pid()))
		var size, resident int64
		_, _ = fmt.Sscan(string(text), &size, &resident) // 0 if the process has just ended
		now, mb := d.currentIncarnation(), resident*pageBytes>>20
		w.mu.Lock()
		w.maxMemory = max(w.maxMemory, mb)
		if now != incarnation {
			w.ends = append(w.ends, daemonEnd{d.number, time.Now(), "started again"})
		}
		w.mu.Unlock()
		incarnation = now
		if mb > memoryLimitMB {
			w.note("daemon %d has %d MB and is ended", d.number, mb)
			d.signal(syscall.SIGKILL, false)
			pause(w.ctx, restartPause)
		}
	}
}
