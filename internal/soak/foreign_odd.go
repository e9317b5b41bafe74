// This file lets the foreign writer write odd entries among those of the replicas: numbers at and beyond the limits of their
// types, nesting that no parser follows, ports and keys that can't be, and JSON in place of Base64. No daemon may end by
// itself at one (RUNS), stop reading the others (DRAIN, SERVES), or connect to an address that only they name (ENTRY).

package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
)

const (
	oddEntries faultKind = "odd_entries"
	// sourceOdd is the random source of these faults.
	sourceOdd = 31
	// oddNesting is deeper than the JSON parsers of the daemons go.
	oddNesting = 200_000
)

// drawOdd adds the odd entries of a seed, from a random source of their own.
func (p *Plan) drawOdd(seed uint64, s Shape) {
	rng := rand.New(rand.NewPCG(seed, sourceOdd))
	for range int(math.Ceil(s.OddEntriesPerSec * s.Trouble.Seconds())) {
		f := drawFault(rng, s.Trouble)
		f.Kind = oddEntries
		f.For += minForeign
		p.Faults = append(p.Faults, f)
	}
}

// oddEntry is an entry of the foreign writer. Its value is sent as JSON text if it is raw.
type oddEntry struct {
	key   string
	value string
	isRaw bool
}

// oddFields are fields that no entry of a replica has. They replace those of a sound entry with the same names, since a
// parser takes the last one.
var oddFields = []string{
	`"sequence":18446744073709551615`, `"sequence":1e400`, `"born":9223372036854775807`, `"born":1e400`,
	`"slots":9223372036854775807`, `"slots":4611686018427387904`, `"slots":2147483648`, `"slots":1e400`,
	`"address":"127.0.0.1:70000"`, `"address":"127.0.0.1:99999999999999999999"`,
	`"zone":` + strings.Repeat("[", oddNesting) + strings.Repeat("]", oddNesting),
	`"other":` + strings.Repeat("[", oddNesting) + strings.Repeat("]", oddNesting),
}

// highestFields are the highest numbers that an entry may have. Such entries say that their replica leaves, since a daemon
// may send to a ready one.
var highestFields = []string{`"sequence":9223372036854775807`, `"sequence":4611686018427387904`, `"slots":2147483647`}

// oddKeyEnds make a key one that no replica has.
var oddKeyEnds = []string{"\xff\xfe", "\xc3(", strings.Repeat("k", 300), " ", "\u00e9"}

// rawValues are JSON texts in place of Base64.
var rawValues = []string{`17`, `true`, `{}`, `["a"]`, `"not Base64!"`, strings.Repeat("[", oddNesting) + strings.Repeat("]", oddNesting)}

func soundEntry(service, address, state, more string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z0","slots":6,"state":%q,"sequence":1%s}`, service, address, state, more)
}

// oddValue returns an odd value of an entry, whatever its key.
func oddValue(variant int, key, service, address string) oddEntry {
	i := variant % (len(oddFields) + len(rawValues))
	if i >= len(oddFields) {
		return oddEntry{key: key, value: rawValues[i-len(oddFields)], isRaw: true}
	}
	return oddEntry{key: key, value: soundEntry(service, address, "ready", ","+oddFields[i])}
}

// newOddEntry returns an odd entry with a key that no replica has.
func newOddEntry(variant int, key, service, address string) oddEntry {
	switch variant, kind := variant/4, variant%4; kind {
	case 0:
		return oddEntry{key: key + oddKeyEnds[variant%len(oddKeyEnds)], value: soundEntry(service, address, "ready", "")}
	case 1:
		long := strings.Repeat("k", 200-len(key))
		return oddEntry{key: key + long, value: soundEntry(service, address, "draining", ","+highestFields[variant%len(highestFields)])}
	default:
		return oddValue(variant, key, service, address)
	}
}

// put writes an entry and returns its key.
func (s *site) put(o oddEntry) string {
	if o.isRaw {
		s.store.PutRawEntry(o.key, []byte(o.value))
	} else {
		s.store.PutEntry(o.key, []byte(o.value))
	}
	return o.key
}
