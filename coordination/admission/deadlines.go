// The queued asks of a coordinator by deadline, so that those whose caller has given up are removed
// without a pass over the queue.

package admission

import "container/heap"

// deadlines is a heap of the queued asks; the first one has the earliest deadline.
type deadlines []*ask

func (d *deadlines) add(a *ask)    { heap.Push(d, a) }
func (d *deadlines) remove(a *ask) { heap.Remove(d, a.index) }

// Len, Less, Swap, Push and Pop implement [heap.Interface].
func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

func (d *deadlines) Push(x any) {
	a := x.(*ask)
	a.index = len(*d)
	*d = append(*d, a)
}

func (d *deadlines) Pop() any {
	last := len(*d) - 1
	a := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return a
}
