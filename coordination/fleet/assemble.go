// This file decides which chunks of an upstream's stream belong to the response. It
// is separate from the relay so that a property test can drive it with every order
// of late, repeated, lost and foreign chunks.

package fleet

// Chunk holds the properties of a stream event that the assembler uses.
type Chunk struct {
	Stream string // the upstream's id of the stream; empty if it gives none
	Seq    uint64 // position from 1; 0 if the upstream numbers nothing
	Final  bool   // the protocol's terminator
}

// Verdict says what the relay must do with a chunk.
type Verdict uint8

// The verdicts on a chunk.
const (
	// Forward means that the chunk is the next part of the response.
	Forward Verdict = iota + 1
	// Drop means that the chunk was already forwarded or belongs to another
	// stream.
	Drop
	// Missing means that chunks before this one were lost. The stream must be resumed
	// after the last forwarded position, or the response ends in an error.
	Missing
)

// Assembler accepts the chunks of one response in order. Its zero value is ready for
// use.
type Assembler struct {
	stream   string
	position uint64
	numbered bool
	started  bool
	final    bool
}

// Accept decides on a chunk.
func (a *Assembler) Accept(c Chunk) Verdict {
	if a.final {
		return Drop
	}
	if !a.started {
		a.started = true
		a.stream = c.Stream
		a.numbered = c.Seq != 0
	}
	if c.Stream != a.stream {
		return Drop
	}
	if !a.numbered {
		return a.forward(c)
	}
	switch {
	case c.Seq == 0:
		// In a numbered stream, a chunk without a number can't be placed.
		return Missing
	case c.Seq <= a.position:
		return Drop
	case c.Seq > a.position+1:
		return Missing
	}
	a.position = c.Seq
	return a.forward(c)
}

func (a *Assembler) forward(c Chunk) Verdict {
	a.final = c.Final
	return Forward
}

// IsComplete reports whether the terminator has been forwarded. Only the terminator makes
// a response complete.
func (a *Assembler) IsComplete() bool { return a.final }

// Resumable reports whether the upstream can be asked for the remaining events, and
// after which position.
func (a *Assembler) Resumable() (stream string, after uint64, ok bool) {
	return a.stream, a.position, a.started && a.numbered && a.stream != "" && !a.final
}
