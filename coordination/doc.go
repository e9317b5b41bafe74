// Package coordination holds what the decisions of both front ends share: how a
// request ended, the hash by which all daemons rank candidates alike, and the
// stamps and events of the time line. The decisions stand below it: routing and
// membership for the front end in production, fleet for the OpenAI front end.
//
// Everything here and below is pure. Time, randomness and messages are arguments;
// there is no I/O and no goroutine, so the same code runs in a daemon and in a
// property test. A type is used by one goroutine at a time unless its comment
// says otherwise.
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
