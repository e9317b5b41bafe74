// Package coordination holds what the decisions of both front ends share: the outcome
// of a request, the hash by which all daemons rank candidates alike, and the
// timestamps and events of the timeline, and when a process is near the limit of its
// memory. The other decisions are in subpackages: routing and membership for the front
// end in production, fleet for the OpenAI front end.
//
// This package and its subpackages do no I/O and start no goroutine. Time, randomness
// and messages are arguments, so the same code runs in a daemon and in a property
// test. A type is not safe for concurrent use unless its comment says otherwise.
//
// # Usage
//
//	home := coordination.Rank(key, candidate) // the highest rank is the key's home
//	switch o := outcome.(type) {
//	case coordination.Answered:
//	case coordination.NotRun: // may be sent again
//	case coordination.MayHaveRun: // may not, unless the request can be repeated
//	}
package coordination
