// This file decides which entries that can't be used get a line in the log. Anyone who can write to the store could otherwise
// fill the log's buffer, so that lines about other things are dropped.

package routes

import (
	"github.com/cespare/xxhash/v2"

	"hingewinch.org/hingewinch/state/feed"
)

// maxUnusableContents is the number of contents of unusable entries that are remembered in order to log each once. When
// there are more, all are forgotten.
const maxUnusableContents = 10_000

// unusableLog decides which unusable entries get a line in the log: each content of a key once, and at most maxReplicaLogLines
// of one change. Its zero value has logged none.
type unusableLog struct {
	logged map[uint64]struct{} // hashes of keys and contents
	left   int                 // lines of the current change
	others int                 // entries of the current change that get no line although their contents are new
}

// begin begins a change.
func (l *unusableLog) begin() { l.left, l.others = maxReplicaLogLines, 0 }

// allow reports whether an unusable entry gets a line.
func (l *unusableLog) allow(it feed.Item) bool {
	h := xxhash.New()
	_, _ = h.WriteString(it.Key + "\x00") // never fails, nor does Write
	_, _ = h.Write(it.Value)
	content := h.Sum64()
	if _, ok := l.logged[content]; ok {
		return false
	}
	if l.left == 0 {
		l.others++
		return false
	}
	l.left--
	if l.logged == nil || len(l.logged) >= maxUnusableContents {
		l.logged = make(map[uint64]struct{})
	}
	l.logged[content] = struct{}{}
	return true
}
