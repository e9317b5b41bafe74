// This file writes the attempts of a request as an array of objects. It is apart from log.go since
// the logger's own arrays of objects go through reflection and allocate for each of them.

package routes

import (
	"sync"

	"github.com/phuslu/log"

	"hingewinch.org/hingewinch/transport/relay"
)

// attemptBytes is the size that two attempts rarely exceed.
const attemptBytes = 1 << 10

// attemptEncoder encodes attempts. Its entry is kept, as each new one would be allocated.
type attemptEncoder struct {
	entry log.Entry
	text  []byte
}

var attemptEncoders = sync.Pool{New: func() any { return &attemptEncoder{text: make([]byte, 0, attemptBytes)} }}

// addAttempts adds the attempts of a request to its line, in the order in which they began.
func addAttempts(e *log.Entry, attempts []relay.Attempt) {
	if e == nil {
		return
	}
	c := attemptEncoders.Get().(*attemptEncoder)
	c.text = append(c.text[:0], '[')
	for i := range attempts {
		if i > 0 {
			c.text = append(c.text, ',')
		}
		begin := len(c.text)
		c.add(&attempts[i])
		c.text[begin] = '{' // in place of the comma before the first field
		c.text = append(c.text, '}')
	}
	c.text = append(c.text, ']')
	e.RawJSON("attempts", c.text)
	attemptEncoders.Put(c)
}

// add appends the fields of an attempt, with a comma before each.
func (c *attemptEncoder) add(a *relay.Attempt) {
	c.entry = *log.NewContext(c.text)
	e := &c.entry
	e.Str("replica", string(a.Replica)).Str("version", a.Version.String()).Int("rank", a.Rank).Bool("cold", a.Cold).Str("copied", string(a.PromptSource)).Int("load", a.Load).
		Float64("mean", float64(int(a.MeanLoad*10))/10).
		Float64("coverage", float64(int(a.LoadCoverage*100))/100).Int("reported_load", reportedLoad(a.Reported)).
		Int64("rest_ms", a.Backoff.Milliseconds()).Bool("leaving", a.Leaving).Bool("reused", a.Reused).Str("end", string(a.End)).Int64("ms", a.Duration.Milliseconds()).AnErr("error", a.Err)
	if a.Via != "" {
		e.Str("via", string(a.Via))
	}
	c.text = e.Value()
}
