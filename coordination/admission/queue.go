// The order in which waiting requests get permits.
//
// Inputs: the waiting asks with their urgency, workspace, time of asking and target; for which of
// them a place is free; how long a request usually takes; which asks were granted, and how long
// these took. The rule:
//
//  1. An ask that uses a planned return (returns.go) goes first; of several, the most urgent one.
//  2. The other asks are ordered by urgency class. A class goes before the more urgent ones while
//     the share of its asks that were granted is less than floorShare of the largest share of
//     these, of the asks of the last shareWindow. A more urgent class is therefore served at least
//     as often, and a less urgent one half as often. Asks that are refused count as well. A permit
//     counts at the time of its ask: otherwise the share would be above one after a burst that was
//     granted late, and a less urgent class would go first.
//  3. Within a class, asks that can still start in time (the usual time of a request before their
//     target) go before those that cannot. The latter go oldest first. Once one has waited for
//     overdueAfter, late asks get one of overduePermits permits of the class.
//  4. Among those in time, start-time fair queuing shares the time that replicas spend between
//     workspaces: each workspace has a start tag, which advances with each permit by the mean time
//     of the workspace's requests. The workspace with the lowest tag is next. A workspace without
//     waiting asks resumes at the current lowest tag if its own is lower, so that being idle earns
//     nothing. The tags of a class start anew when nothing of the class waits: nobody was delayed
//     then. The time of each single request is not charged: a workspace with few requests would
//     fall behind when one of them meets a slow replica, and gain nothing from fast ones.
//  5. Within a workspace, the order is the time of asking.
//
// The position of a new ask (ahead) follows the same rule, except that late asks count as if they
// were in time, and that a new ask is behind all of its class once a late one of its workspace has
// waited for maxLateWait. Otherwise nothing would be refused because of them, and they would wait
// as long as others arrive in time. As they count at the position of their workspace, a workspace
// that sends more than its share finds a long queue of its own asks, and others find a short one.
//
// The cost of next, add and remove is proportional to the number of classes and the logarithm of
// the number of workspaces that wait; that of ahead to the number of workspaces that wait.

package admission

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
)

const (
	// floorShare is the least share of granted asks in a less urgent class, relative to that in the
	// more urgent ones.
	floorShare = 0.5
	// shareWindow is the time over which shares are counted, in shareSlots slots. A wave of load
	// lasts 15 s; a class that was served less in its peak is not compensated much later.
	shareWindow = 5 * time.Second
	shareSlots  = 10
	// maxLateWait is how long a late ask waits before new asks of its workspace are refused: while a
	// workspace asks for more than its share, some ask of it is always in time, and late ones would
	// otherwise wait until their deadline.
	maxLateWait = 250 * time.Millisecond
	// overdueAfter is how long a late ask waits at most while other workspaces ask for less than their
	// share, and thus are always in time. It leaves most of the time that callers have.
	overdueAfter = 500 * time.Millisecond
	// overduePermits is the number of permits of a class of which an overdue ask gets one. With one in
	// three, the value of a request in the load test was lower.
	overduePermits = 5
	// lastPosition is higher than any position in a queue, so that a new ask there is refused.
	lastPosition = 1 << 20
	// minCharge is the least time that is charged for a permit, for the case that the usual time is
	// not known yet.
	minCharge = time.Millisecond
	// meanRequests is the number of requests of a workspace over which its mean time is taken, and
	// usualRequests the weight of the usual time before its first one. A replica is slow for a
	// seventh of the time.
	meanRequests  = 32
	usualRequests = 4
	// timesKept is how long the mean time of a workspace without requests is remembered.
	timesKept = time.Minute
	// spareFlows is the number of workspaces without waiting asks above which those with nothing
	// to remember are removed.
	spareFlows = 64
)

// waiting is an ask in the queue of a coordinator.
type waiting struct {
	Ask
	from     membership.Address
	asked    time.Time
	target   time.Time // the latency target
	deadline time.Time // of the caller
	returned bool      // it uses a planned return, and goes ahead of the others

	counted    bool  // it is in the counts of its class
	slot       int64 // of these counts
	late       bool  // it was found to be late
	flow       *flow
	list       *waitList // that contains it, if any
	prev, next *waiting
	lateIndex  int // in class.late
}

// isLate reports whether a request can no longer be in time, even if it is sent now.
func (w *waiting) isLate(usual time.Duration, now time.Time) bool {
	return w.target.Sub(now) < usual
}

// waitList is a list of asks in the order of asking.
type waitList struct {
	first, last *waiting
	n           int
}

// insert inserts an ask. Asks mostly arrive in their order, so that its position is near the end.
func (l *waitList) insert(w *waiting, isBehind func(than *waiting) bool) {
	at := l.last // the one before it
	for at != nil && !isBehind(at) {
		at = at.prev
	}
	w.list, w.prev = l, at
	if at == nil {
		w.next, l.first = l.first, w
	} else {
		w.next, at.next = at.next, w
	}
	if w.next == nil {
		l.last = w
	} else {
		w.next.prev = w
	}
	l.n++
}

func (l *waitList) remove(w *waiting) {
	if w.prev == nil {
		l.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		l.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.list, w.prev, w.next = nil, nil, nil
	l.n--
}

// flow is the asks of one workspace in one class.
type flow struct {
	start   time.Duration // the start tag of the first ask in time
	cost    time.Duration // by which the tag advances with each permit
	inTime  waitList      // contains late asks behind the first one as well
	late    waitList      // those that were found to be late
	waiting int           // all
	index   int           // in class.inTime
	active  int           // position in class.active, if any wait
}

// class is the asks of one urgency.
type class struct {
	urgency Urgency
	waiting int
	virtual time.Duration          // the lowest start tag at the last permit
	flows   map[WorkspaceKey]*flow // also those without waiting asks whose tag is above virtual
	active  []*flow                // those with waiting asks
	inTime  ordered[*flow]         // those with asks in inTime, by start tag
	late    ordered[*waiting]      // by the time of asking
	asked   windowCount
	granted windowCount
	// sinceLate is the number of permits since the last one for a late ask.
	sinceLate int
}

func newClass(u Urgency) *class {
	return &class{
		urgency: u,
		flows:   make(map[WorkspaceKey]*flow),
		inTime: ordered[*flow]{
			isBefore: func(a, b *flow) bool {
				return a.start < b.start || a.start == b.start && a.inTime.first.asked.Before(b.inTime.first.asked)
			},
			index: func(f *flow) *int { return &f.index },
		},
		late: ordered[*waiting]{
			isBefore: func(a, b *waiting) bool { return a.asked.Before(b.asked) },
			index:    func(w *waiting) *int { return &w.lateIndex },
		},
	}
}

// flowOf returns the flow of a workspace, which is created if there is none.
func (c *class) flowOf(k WorkspaceKey) *flow {
	f := c.flows[k]
	if f == nil {
		f = &flow{start: c.virtual}
		c.flows[k] = f
	}
	return f
}

// add adds an ask. cost is the mean time of the workspace's requests.
func (c *class) add(w *waiting, cost time.Duration) {
	f := c.flowOf(w.Workspace)
	f.cost = cost
	if f.waiting == 0 {
		f.start = max(f.start, c.virtual)
		f.active = len(c.active)
		c.active = append(c.active, f)
	}
	w.flow = f
	f.waiting++
	c.waiting++
	f.inTime.insert(w, asksAfter(w))
	c.inTime.update(f)
}

// remove removes an ask.
func (c *class) remove(w *waiting) {
	f := w.flow
	w.flow = nil
	c.waiting--
	f.waiting--
	if w.list == &f.late {
		f.late.remove(w)
		c.late.remove(w)
	} else {
		c.removeInTime(f, w)
	}
	if f.waiting == 0 {
		last := c.active[len(c.active)-1]
		c.active[f.active], last.active = last, f.active
		c.active = c.active[:len(c.active)-1]
	}
	if c.waiting == 0 {
		c.virtual = 0
		clear(c.flows)
	}
}

func (c *class) removeInTime(f *flow, w *waiting) {
	f.inTime.remove(w)
	if f.inTime.n == 0 {
		c.inTime.remove(f)
	} else {
		c.inTime.update(f)
	}
}

// lowest returns the flow with the lowest start tag, or nil. It moves late asks that would be next
// to the late ones; those behind an ask in time are found when it is gone.
func (c *class) lowest(usual time.Duration, now time.Time) *flow {
	for len(c.inTime.list) > 0 {
		f := c.inTime.list[0]
		w := f.inTime.first
		if !w.isLate(usual, now) {
			return f
		}
		c.removeInTime(f, w)
		c.addLate(w)
	}
	return nil
}

// addLate adds an ask, which is removed from those in time, to the late ones.
func (c *class) addLate(w *waiting) {
	w.late = true
	w.flow.late.insert(w, asksAfter(w))
	c.late.update(w)
}

// asksAfter returns a predicate for the asks that w is behind.
func asksAfter(w *waiting) func(*waiting) bool {
	return func(than *waiting) bool { return !w.asked.Before(than.asked) }
}

// next returns the ask of the class that gets the next permit, or nil.
func (c *class) next(grantable func(*waiting) bool, usual time.Duration, now time.Time) *waiting {
	if c.sinceLate >= overduePermits-1 && len(c.late.list) > 0 && now.Sub(c.late.list[0].asked) > overdueAfter {
		if w := c.late.list[0]; grantable(w) {
			return w
		}
	}
	if w := c.nextInTime(grantable, usual, now); w != nil {
		return w
	}
	var skipped []*waiting
	defer func() {
		for _, w := range skipped {
			c.late.update(w)
		}
	}()
	for len(c.late.list) > 0 {
		w := c.late.list[0]
		if grantable(w) {
			return w
		}
		c.late.remove(w)
		skipped = append(skipped, w)
	}
	return nil
}

// nextInTime returns the ask that gets the next permit among those in time, or nil.
func (c *class) nextInTime(grantable func(*waiting) bool, usual time.Duration, now time.Time) *waiting {
	var skipped []*flow
	defer func() {
		for _, f := range skipped {
			c.inTime.update(f)
		}
	}()
	for f := c.lowest(usual, now); f != nil; f = c.lowest(usual, now) {
		for w := f.inTime.first; w != nil; {
			next := w.next
			switch {
			case w.isLate(usual, now):
				f.inTime.remove(w) // not the first one: that is in time
				c.addLate(w)
			case grantable(w):
				return w
			}
			w = next
		}
		c.inTime.remove(f)
		skipped = append(skipped, f)
	}
	return nil
}

// grant advances the start tag of a workspace that got a permit. cost is the mean time of its
// requests.
func (c *class) grant(w *waiting, cost time.Duration) {
	f := c.flowOf(w.Workspace)
	f.start = max(f.start, c.virtual)
	f.cost = cost
	lowest := f.start
	if len(c.inTime.list) > 0 {
		lowest = min(lowest, c.inTime.list[0].start)
	}
	c.virtual = max(c.virtual, lowest)
	f.start += cost
	if f.inTime.n > 0 {
		c.inTime.update(f)
	}
	if len(c.flows) > 2*len(c.active)+spareFlows {
		for k, f := range c.flows {
			if f.waiting == 0 && f.start <= c.virtual {
				delete(c.flows, k)
			}
		}
	}
}

// ahead returns how many asks of the class are before a new one that is in time.
func (c *class) ahead(w *waiting, now time.Time) int {
	own := c.flows[w.Workspace]
	if own != nil && own.late.n > 0 && now.Sub(own.late.first.asked) > maxLateWait {
		return max(c.waiting, lastPosition)
	}
	start := c.virtual // the start tag that it gets
	if own != nil {
		start = max(start, own.start) + time.Duration(own.waiting)*own.cost
	}
	n := 0
	for _, f := range c.active {
		switch lead := start - f.start; {
		case f == own, lead >= time.Duration(f.waiting)*f.cost:
			n += f.waiting
		case lead >= 0:
			// Of equal tags, the one that asked first is before.
			n += min(f.waiting, int(lead/f.cost)+1)
		}
	}
	return n
}

// ordered is a heap whose elements know their position in it.
type ordered[T any] struct {
	list     []T
	isBefore func(a, b T) bool
	index    func(T) *int // one more than the position in list; 0: it is not in it
}

// Len, Less, Swap, Push and Pop implement [heap.Interface].
func (o *ordered[T]) Len() int           { return len(o.list) }
func (o *ordered[T]) Less(i, j int) bool { return o.isBefore(o.list[i], o.list[j]) }
func (o *ordered[T]) Swap(i, j int) {
	o.list[i], o.list[j] = o.list[j], o.list[i]
	*o.index(o.list[i]), *o.index(o.list[j]) = i+1, j+1
}
func (o *ordered[T]) Push(x any) {
	o.list = append(o.list, x.(T))
	*o.index(x.(T)) = len(o.list)
}
func (o *ordered[T]) Pop() any {
	x := o.list[len(o.list)-1]
	clear(o.list[len(o.list)-1:])
	o.list = o.list[:len(o.list)-1]
	*o.index(x) = 0
	return x
}

// update inserts an element, or restores the order after a change of it.
func (o *ordered[T]) update(x T) {
	if at := *o.index(x); at > 0 {
		heap.Fix(o, at-1)
	} else {
		heap.Push(o, x)
	}
}

// remove removes an element, if it is contained.
func (o *ordered[T]) remove(x T) {
	if at := *o.index(x); at > 0 {
		heap.Remove(o, at-1)
	}
}

// queue holds the asks that wait for a permit of one coordinator.
type queue struct {
	n        int
	returned waitList      // by urgency, then time of asking
	classes  []*class      // by urgency
	usual    time.Duration // of the last call with it
	times    map[WorkspaceKey]*meanTime
	begun    time.Time
	slot     int64 // of the windows of the classes
}

// newQueue returns an empty queue.
func newQueue() *queue { return &queue{times: make(map[WorkspaceKey]*meanTime)} }

// add adds an ask.
func (q *queue) add(w *waiting, now time.Time) {
	c := q.count(w, now)
	q.n++
	if w.returned {
		q.returned.insert(w, func(than *waiting) bool {
			return w.Urgency > than.Urgency || w.Urgency == than.Urgency && !w.asked.Before(than.asked)
		})
		return
	}
	c.add(w, q.cost(w.Workspace))
}

// remove removes an ask that is withdrawn or granted.
func (q *queue) remove(w *waiting) {
	switch {
	case w.flow != nil:
		q.class(w.Urgency).remove(w)
	case w.list != nil:
		q.returned.remove(w)
	default:
		return // it does not wait
	}
	q.n--
}

// next returns the ask that gets the next permit, without removing it, or nil. grantable reports
// whether there is a place for an ask; usual is how long a request usually takes.
func (q *queue) next(grantable func(*waiting) bool, usual time.Duration, now time.Time) *waiting {
	if q.n == 0 {
		return nil
	}
	q.usual = usual
	q.advance(now)
	for w := q.returned.first; w != nil; w = w.next {
		if grantable(w) {
			return w
		}
	}
	var urgent shares
	for _, c := range q.classes {
		if c.waiting > 0 && urgent.owed(c) > 0 {
			if w := c.next(grantable, usual, now); w != nil {
				return w
			}
		}
		urgent.add(c)
	}
	for _, c := range q.classes {
		if c.waiting > 0 {
			if w := c.next(grantable, usual, now); w != nil {
				return w
			}
		}
	}
	return nil
}

// granted records that an ask got a permit, for the shares of workspaces and urgencies.
func (q *queue) granted(w *waiting, usual time.Duration, now time.Time) {
	q.usual = usual
	c := q.count(w, now)
	if q.slot-w.slot < shareSlots {
		c.granted.add(w.slot)
	}
	if c.sinceLate++; w.late {
		c.sinceLate = 0
	}
	if c.waiting > 0 {
		c.grant(w, q.cost(w.Workspace))
	}
}

// spent records how long a request of a workspace with a permit took. The mean is charged for the next
// permits of the workspace.
func (q *queue) spent(k WorkspaceKey, took, usual time.Duration, now time.Time) {
	q.advance(now)
	m := q.times[k]
	if m == nil {
		m = &meanTime{mean: usual, n: usualRequests}
		q.times[k] = m
	}
	m.n = min(m.n+1, meanRequests)
	m.mean += (took - m.mean) / time.Duration(m.n)
	m.last = now
}

// cost returns what a permit of a workspace costs it.
func (q *queue) cost(k WorkspaceKey) time.Duration {
	if m := q.times[k]; m != nil {
		return max(minCharge, m.mean)
	}
	return max(minCharge, q.usual)
}

// ahead returns how many of the waiting asks would get a permit before a new one. It counts the ask
// for the shares, also if it is then refused.
func (q *queue) ahead(w *waiting, usual time.Duration, now time.Time) int {
	q.usual = usual
	c := q.count(w, now)
	n := 0
	for r := q.returned.first; r != nil && !(w.returned && r.Urgency > w.Urgency); r = r.next {
		n++
	}
	if w.returned || q.n == q.returned.n {
		return n
	}
	own := c.waiting
	if !w.isLate(usual, now) {
		own = c.ahead(w, now)
	}
	before := own
	var urgent shares
	for _, other := range q.classes {
		switch {
		case other.urgency < c.urgency:
		case other == c:
			before += urgent.before(c, own)
		default:
			// A less urgent class goes before by the permits that it is owed by the time of the grant.
			owed := urgent.owed(other) + urgent.owedFor(other, float64(before))
			before += min(other.waiting, max(0, int(math.Ceil(owed))))
		}
		urgent.add(other)
	}
	return n + before
}

// len returns the number of waiting asks.
func (q *queue) len() int { return q.n }

// meanTime is the mean time of the requests of a workspace.
type meanTime struct {
	mean time.Duration
	n    int
	last time.Time
}

// class returns the class of an urgency, or nil.
func (q *queue) class(u Urgency) *class {
	if i, ok := q.find(u); ok {
		return q.classes[i]
	}
	return nil
}

func (q *queue) find(u Urgency) (int, bool) {
	return slices.BinarySearchFunc(q.classes, u, func(c *class, u Urgency) int { return int(c.urgency) - int(u) })
}

// count counts an ask in its class, unless that was done before, and returns the class.
func (q *queue) count(w *waiting, now time.Time) *class {
	q.advance(now)
	i, ok := q.find(w.Urgency)
	if !ok {
		q.classes = slices.Insert(q.classes, i, newClass(w.Urgency))
	}
	c := q.classes[i]
	if !w.counted {
		w.counted, w.slot = true, q.slot
		c.asked.add(w.slot)
	}
	return c
}

// advance drops the counts that are older than the window, and classes with neither counts nor
// waiting asks.
func (q *queue) advance(now time.Time) {
	if q.begun.IsZero() {
		q.begun = now
	}
	slot := int64(now.Sub(q.begun) / (shareWindow / shareSlots))
	if slot <= q.slot {
		return
	}
	for _, c := range q.classes {
		c.asked.advance(q.slot, slot)
		c.granted.advance(q.slot, slot)
	}
	q.slot = slot
	for k, m := range q.times {
		if now.Sub(m.last) > timesKept {
			delete(q.times, k)
		}
	}
	q.classes = slices.DeleteFunc(q.classes, func(c *class) bool {
		return c.waiting == 0 && c.asked.sum == 0 && c.granted.sum == 0
	})
}

// windowCount counts events of the last shareWindow.
type windowCount struct {
	sum   int
	slots [shareSlots]int
}

func (n *windowCount) add(slot int64) {
	n.sum++
	n.slots[slot%shareSlots]++
}

// advance drops the slots that the window leaves as it moves.
func (n *windowCount) advance(from, to int64) {
	for slot := max(from+1, to-shareSlots+1); slot <= to; slot++ {
		n.sum -= n.slots[slot%shareSlots]
		n.slots[slot%shareSlots] = 0
	}
}

// shares are what was asked, granted and waits in the classes that are more urgent than one.
type shares struct {
	waiting int
	// asked and granted are those of the class with the largest share.
	asked, granted int
}

func (s *shares) add(c *class) {
	s.waiting += c.waiting
	if s.asked == 0 || c.granted.sum*s.asked > s.granted*c.asked.sum {
		s.asked, s.granted = c.asked.sum, c.granted.sum
	}
}

// owedFor returns how many permits a class must get for n permits of the more urgent ones.
func (s *shares) owedFor(c *class, n float64) float64 {
	if s.asked == 0 {
		return 0
	}
	return floorShare * n * float64(c.asked.sum) / float64(s.asked)
}

// owed returns by how many permits a class is below the floor.
func (s *shares) owed(c *class) float64 {
	return s.owedFor(c, float64(s.granted)) - float64(c.granted.sum)
}

// before returns how many asks of the more urgent classes get a permit before the ask of a class
// that has position n in it.
func (s *shares) before(c *class, n int) int {
	perPermit := s.owedFor(c, 1)
	if s.waiting == 0 || perPermit == 0 {
		return s.waiting
	}
	missing := float64(n) - s.owed(c) // it is next as soon as this is negative
	if missing < 0 {
		return 0
	}
	return int(min(float64(s.waiting), math.Floor(missing/perPermit)+1))
}
