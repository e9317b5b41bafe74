// This file decides which bodies of callers' requests a daemon holds at a time. A body is held until its request has ended,
// since another attempt may need it.
//
// The inputs are the room in bytes, the length of each body, announced or, where none is, of its buffer, and the times at
// which bytes arrive. The rule:
//
//  1. A body takes its announced length before it is read, and one without takes each buffer before that is allocated. What does
//     not fit is refused at once, so that what is admitted can be read whole.
//  2. A body of at most SmallBody fits if room is left, or if such bodies hold less than smallShare of the room: they are served
//     while large ones hold the rest.
//  3. A larger one fits if room is left, and large ones hold at most what smallShare leaves. One that is the only
//     large one always fits: the configuration allows its size.
//  4. A body that is being read and of which nothing has arrived for bodyStalled gives way to one that does not fit
//     otherwise, the one that has waited longest first. None gives way if that would not make enough room, and none that was
//     not found stalled PauseSlack before: after a pause of the process all look stalled until what has arrived is read.

package coordination

import (
	"slices"
	"sync"
	"time"
)

const (
	// SmallBody is the size up to which a body is small, in bytes. Nearly all are.
	SmallBody = 64 << 10
	// smallShare is the part of the room that large bodies leave to small ones: 8 MB of 48, 100 bodies of the largest
	// size or 4,000 of 2 KB.
	smallShare = 1.0 / 6
	// bodyStalled is longer than a lost packet takes to be sent again.
	bodyStalled = time.Second
)

// Body is the room that one body takes. Its zero value takes none.
type Body struct {
	// Stop ends the reading of the body, which has given way. It must not block.
	Stop func()

	size    int64
	arrived time.Time // the last bytes
	found   time.Time // when it was first found stalled since; zero: it was not
	gaveWay bool
}

// BodyRoom is the room for all bodies of a daemon. It is safe for concurrent use.
type BodyRoom struct {
	room int64

	mu           sync.Mutex
	small, large int64 // held bytes
	reading      map[*Body]struct{}
}

// NewBodyRoom returns the room for bodies of a number of bytes in all.
func NewBodyRoom(room int64) *BodyRoom {
	return &BodyRoom{room: room, reading: make(map[*Body]struct{})}
}

// Take makes a body take a number of bytes in place of what it has. It returns false, and changes nothing, if they do not fit
// or the body has given way.
func (r *BodyRoom) Take(b *Body, size int64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.gaveWay {
		return false
	}
	former := b.size
	r.count(b, 0)
	if !r.fits(size) && !r.makeRoom(b, size, now) {
		r.count(b, former)
		return false
	}
	r.count(b, size)
	b.arrived, b.found = now, time.Time{}
	r.reading[b] = struct{}{}
	return true
}

// Arrived records that bytes of a body have arrived.
func (r *BodyRoom) Arrived(b *Body, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.arrived, b.found = now, time.Time{}
}

// Whole records that a body was read to its end, and returns false if it has given way.
func (r *BodyRoom) Whole(b *Body) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reading, b)
	return !b.gaveWay
}

// GaveWay reports whether a body has given way to another one.
func (r *BodyRoom) GaveWay(b *Body) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return b.gaveWay
}

// Release gives back what a body takes, once its request has ended.
func (r *BodyRoom) Release(b *Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(b)
}

// Held returns how many bytes all bodies take.
func (r *BodyRoom) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.small + r.large
}

// fits reports whether a body fits by rules 2 and 3.
func (r *BodyRoom) fits(size int64) bool {
	left := int64(smallShare * float64(r.room))
	if size <= SmallBody {
		return r.small+r.large+size <= r.room || r.small+size <= left
	}
	return r.large == 0 || r.large+size <= r.room-left && r.small+r.large+size <= r.room
}

// makeRoom makes stalled bodies give way to one by rule 4. It returns false if that is not enough.
func (r *BodyRoom) makeRoom(to *Body, size int64, now time.Time) bool {
	var stalled []*Body
	for b := range r.reading {
		if b != to && b.size > 0 && b.stalled(now) {
			stalled = append(stalled, b)
		}
	}
	slices.SortFunc(stalled, func(a, b *Body) int { return a.arrived.Compare(b.arrived) })
	small, large := r.small, r.large
	for i, b := range stalled {
		if *r.heldBy(b.size) -= b.size; !r.fits(size) {
			continue
		}
		r.small, r.large = small, large
		for _, b := range stalled[:i+1] {
			r.release(b)
			b.gaveWay = true
			b.Stop()
		}
		return true
	}
	r.small, r.large = small, large
	return false
}

// stalled reports whether a body may give way by rule 4.
func (b *Body) stalled(now time.Time) bool {
	if now.Sub(b.arrived) < bodyStalled {
		return false
	}
	if b.found.IsZero() {
		b.found = now
	}
	return now.Sub(b.found) >= PauseSlack
}

func (r *BodyRoom) release(b *Body) {
	r.count(b, 0)
	delete(r.reading, b)
}

// count replaces what a body takes.
func (r *BodyRoom) count(b *Body, size int64) {
	*r.heldBy(b.size) -= b.size
	b.size = size
	*r.heldBy(size) += size
}

// heldBy returns the bytes held by bodies of the kind of a size.
func (r *BodyRoom) heldBy(size int64) *int64 {
	if size <= SmallBody {
		return &r.small
	}
	return &r.large
}
