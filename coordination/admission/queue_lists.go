// The lists and heaps of waiting asks that the queue (queue.go) is made of.

package admission

import "container/heap"

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
