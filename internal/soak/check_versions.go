// This file checks that streams hold events of one software version only, and that callers can resume
// them while replicas of that version serve.

package soak

import (
	"fmt"
	"slices"
	"time"
)

// versionBounds limits streams of several versions.
type versionBounds struct {
	// Mixed is how many streams may hold events of several versions. It holds for all daemons, up to date
	// or not.
	Mixed int
	// MinShare is the share of resumes that must go on, as a part of the share of new streams that begin,
	// if there are MinResumes or more. Only resumes count during which MinReplicas replicas of the
	// stream's version serve.
	MinResumes  int
	MinReplicas int
	MinShare    float64
}

// StreamCount counts the streams of callers that resume them.
type StreamCount struct {
	Sent    int `json:"sent"`
	Begun   int `json:"begun"`
	Mixed   int `json:"mixed"` // streams with events of several versions
	Resumes int `json:"resumes"`
	Resumed int `json:"resumed"` // resumes that went on
	// AtRelease counts the resumes that were sent within releaseWindow from the start of a release, and OutOfStep those
	// of them at daemons that were out of step: a run without any can't show what these make of the streams.
	AtRelease int `json:"at_release"`
	OutOfStep int `json:"out_of_step"`
}

// versionSpan is the time from which a replica had a software version.
type versionSpan struct {
	from    time.Time
	version string
}

// HasVersion records that a replica has a software version from now on.
func (l *Ledger) HasVersion(replica, version string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[replica] = append(l.versions[replica], versionSpan{at, version})
}

// Streams returns the counts of all streams of callers that resume them.
func (l *Ledger) Streams() StreamCount {
	j := &checker{observations: l.snapshot()}
	var n StreamCount
	for _, r := range j.longStreams() {
		isBegun := r.answer != nil && len(versionsOf(r.answer.Body)) > 0
		if r.After > 0 && j.isAtRelease(r.Sent) {
			n.AtRelease++
			n.OutOfStep += btoi(j.isOutOfStep(r.Daemon, r.Sent))
		}
		switch {
		case r.After > 0 && isBegun:
			n.Resumes, n.Resumed = n.Resumes+1, n.Resumed+1
		case r.After > 0:
			n.Resumes++
		case isBegun:
			n.Sent, n.Begun = n.Sent+1, n.Begun+1
		default:
			n.Sent++
		}
	}
	n.Mixed = len(j.mixedStreams())
	return n
}

// MixedStreams describes each stream that holds events of several versions, also where as many are allowed: without them an
// allowed one can't be found in the daemons' logs.
func (l *Ledger) MixedStreams() []Violation {
	j := &checker{observations: l.snapshot()}
	for _, r := range j.mixedStreams() {
		j.addMixed(r)
	}
	return j.out
}

// longStreams returns the requests of callers that resume their streams.
func (j *checker) longStreams() []*record {
	var out []*record
	for _, r := range j.order {
		if r.known && isLongStream(r.ID) {
			out = append(out, r)
		}
	}
	return out
}

// mixedStreams returns a request of each stream that holds events of several versions, within one
// response or over the caller's resumes.
func (j *checker) mixedStreams() []*record {
	first := make(map[string]string) // version of a stream's first event
	found := make(map[string]bool)
	var out []*record
	for _, r := range j.longStreams() {
		if r.answer == nil {
			continue
		}
		id := r.streamID()
		for _, v := range versionsOf(r.answer.Body) {
			if first[id] == "" {
				first[id] = v
			}
			if v != first[id] && !found[id] {
				found[id] = true
				out = append(out, r)
			}
		}
	}
	return out
}

// checkVersions reports streams of several versions, and resumes that were refused.
func (j *checker) checkVersions() {
	if mixed := j.mixedStreams(); len(mixed) > j.bounds.Versions.Mixed {
		for _, r := range mixed {
			j.addMixed(r)
		}
	}
	j.checkResumes()
}

// addMixed adds a stream of several versions to the violations.
func (j *checker) addMixed(r *record) {
	j.add("ORDER", r, r.answer.At, "stream %s holds events of versions %v, through daemon %d%s", r.streamID(), slices.Compact(versionsOf(r.answer.Body)), r.Daemon, j.describeRelease(r))
}

// checkResumes reports if far fewer resumes go on than new streams begin. Only requests at daemons that
// are up to date count.
func (j *checker) checkResumes() {
	b := j.bounds.Versions
	var resumes, others tally
	for _, r := range j.longStreams() {
		if r.answer == nil || !j.upToDate(r.Daemon, r.Sent, r.answer.At) || j.runsPreviousBuild(r.by()) {
			continue
		}
		goesOn := btoi(len(versionsOf(r.answer.Body)) > 0)
		if r.After == 0 {
			others = tally{others.served + goesOn, others.all + 1}
			continue
		}
		if version, ok := j.versionOf(r.Resumes); ok && j.serving(version, r.Sent, r.answer.At) >= b.MinReplicas {
			resumes = tally{resumes.served + goesOn, resumes.all + 1}
		}
	}
	if resumes.all < b.MinResumes || others.all == 0 || share(resumes.served, resumes.all) >= b.MinShare*share(others.served, others.all) {
		return
	}
	j.out = append(j.out, Violation{
		Promise: "LOST", Subject: "resumes", At: j.now,
		Detail: fmt.Sprintf("%d of %d streams went on when their callers resumed them, %d of %d new ones began", resumes.served, resumes.all, others.served, others.all),
	})
}

// versionOf returns the version at which a request's stream began.
func (j *checker) versionOf(id string) (string, bool) {
	r := j.requests[id]
	if r == nil || r.answer == nil {
		return "", false
	}
	list := versionsOf(r.answer.Body)
	if len(list) == 0 {
		return "", false
	}
	return list[0], true
}

// serving returns how many replicas of a version are usable throughout a period.
func (j *checker) serving(version string, from, to time.Time) int {
	return j.countUsable(serviceChat, from, to, func(replica string) bool { return j.versionAt(replica, from) == version })
}

// versionAt returns the software version that a replica had at a time, or an empty string if it had none.
func (j *checker) versionAt(replica string, at time.Time) string {
	current := ""
	for _, v := range j.versions[replica] {
		if !v.from.After(at) {
			current = v.version
		}
	}
	return current
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
