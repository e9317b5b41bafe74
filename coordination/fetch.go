// This file decides how long a fetch of a document may wait for its source.
//
// Its inputs are the timeouts of the fetch, how long it has waited for the body so far, and how many bytes of it have
// arrived.
//
//  1. The header must arrive within FirstByte.
//  2. Each read of the body must return within Idle.
//  3. In all, the fetch waits for the body for Grace, and as long again as the bytes that have arrived take at MinRate. A
//     response of any size arrives at that rate or a higher one; a source that sends a byte now and then holds a fetch
//     for little more than Grace.
//  4. Only time within reads counts, and no read counts for more than Idle: neither the reader's own work nor a pause of the
//     process is held against the source.

package coordination

import (
	"errors"
	"time"
)

// FetchTimeouts bound how long the source of a document may send nothing, and how slowly it may send.
type FetchTimeouts struct {
	FirstByte time.Duration // until the response header
	Idle      time.Duration // between two reads of the response body
	Grace     time.Duration // for which MinRate may be undercut
	MinRate   int64         // of the response body, in bytes a second; 0: it may be slow
}

// Causes of fetches that are given up.
var (
	// ErrSilent means that the source sent nothing for longer than allowed.
	ErrSilent = errors.New("nothing has arrived for too long; check that the other side runs and that the link to it works")
	// ErrSlow means that the source sent less than allowed.
	ErrSlow = errors.New("the response arrives too slowly; check the load of the other side and the link to it")
)

// FetchProgress is how much of a body has arrived. Its zero value is a body of which nothing was read.
type FetchProgress struct {
	waited time.Duration // within reads
	bytes  int64
}

// Add records a read of n bytes.
func (p *FetchProgress) Add(t *FetchTimeouts, took time.Duration, n int) {
	p.waited += min(took, t.Idle)
	p.bytes += int64(n)
}

// Next returns how long the next read may take, and the cause of the failure if it takes longer.
func (p *FetchProgress) Next(t *FetchTimeouts) (time.Duration, error) {
	if t.MinRate <= 0 {
		return t.Idle, ErrSilent
	}
	allowed := t.Grace + time.Duration(float64(p.bytes)/float64(t.MinRate)*float64(time.Second))
	if left := max(0, allowed-p.waited); left < t.Idle {
		return left, ErrSlow
	}
	return t.Idle, ErrSilent
}
