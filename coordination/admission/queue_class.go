// The waiting asks of one urgency class, by rules 3 to 5 of queue.go.

package admission

import "time"

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
