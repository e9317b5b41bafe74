// This file decides whether a response whose connection brought no error is complete.
//
// Inputs: how the response marks its end; whether it is a stream that lacks its first event; who opened the connection to the replica, whether that daemon reported the end, and
// whether it runs; whether the replica is leaving; and what becomes of this daemon's other connections to the replica, and of a
// new one. The rule:
//
//  1. The end of a response with a length or with chunks is marked in the response itself. Its reader has checked it.
//  2. Any other response ends with its connection. One that was reset before its end brings an error (transport.SharedConn).
//  3. If another daemon opened the connection, the end is the replica's if that daemon reports so (transport/tunnel/frames.go).
//     One of a build that reports nothing must still run: the operating system ends the connections of a process that
//     terminates as the replica would have. It is asked after EndSettleTime.
//  4. That is so of a replica's process that is killed as well. All connections of a process end within EndSettleTime, and
//     so does its listener, which may be the last. If another connection to the replica that goes the same way is open
//     then, the process runs, and the response is complete.
//  5. If none is, a new connection is tried; the next request to the replica would have to open it anyway. The response is
//     incomplete if it is refused, and complete otherwise: replicas reset connections beyond their limit, others may have
//     been closed as idle, and a replica or link that is lost ends no connection.
//  6. A refusal counts only if another daemon, if there is one, is refused too: links may refuse new connections while open
//     ones live on.
//  7. A replica that is leaving terminates once it has sent its last response, so that a refusal says nothing.
//  8. A stream that ends with its connection before its first event is incomplete: a stream has at least one event. One that
//     was resumed may have none, since the caller may have had the last one.
//
// What remains: an empty response that is no stream, and a resumed stream, whose replica stopped after the head and goes on
// listening; a replica that was killed and whose address accepts connections again, if it is the only sign; one that is
// killed while it is leaving, or while it gets no requests for another reason; and links that end single connections in an
// ordinary way.

package routing

import "time"

const (
	// EndSettleTime is how long the connections and the listener of a process that is killed take to end: 2.2 ms were seen
	// for 200 connections.
	EndSettleTime = 3 * time.Millisecond
	// EndConnTime is how long the end of a response waits for a new connection. That takes milliseconds within a region, and
	// some hundred if it is refused and another daemon has to try.
	EndConnTime = 500 * time.Millisecond
)

// Framing says how a response marks its end.
type Framing int

// The values of Framing.
const (
	FramedByLength Framing = iota
	FramedByChunks
	FramedByConnection // it has neither a length nor chunks
)

// NewConn says what becomes of a new connection to a replica.
type NewConn int

// The values of NewConn.
const (
	NewConnUnknown NewConn = iota // it was not tried, or has failed otherwise
	NewConnAccepted
	NewConnRefused
)

// ResponseEnd is what is known of the end of a response.
type ResponseEnd struct {
	Framing     Framing
	LacksEvent  bool // it is a stream that was not resumed, and it has no event
	ThroughPeer bool // another daemon opened the connection to the replica
	// EndConfirmed says that the other daemon reported that the replica closed the connection in an ordinary way.
	EndConfirmed bool
	PeerRuns     bool // the other daemon accepts connections
	Leaving      bool // the replica is leaving
	OtherOpen    bool // another connection to the replica is open EndSettleTime after the end
	NewConn      NewConn
}

// EndBasis says how it is known that a response is complete, for the log.
type EndBasis string

// The values of EndBasis.
const (
	EndUnknown      EndBasis = "" // the response may have been cut off
	EndByLength     EndBasis = "length"
	EndByChunks     EndBasis = "chunks"
	EndByConnection EndBasis = "connection"      // the replica closed this daemon's connection
	EndByPeerReport EndBasis = "peer_confirmed"  // another daemon reported that the replica closed its connection
	EndByPeer       EndBasis = "peer_connection" // the replica closed the connection of another daemon, which still runs
)

// endsWithConn reports whether only the end of the connection can show that the response is complete.
func (e ResponseEnd) endsWithConn() bool { return e.Framing == FramedByConnection && !e.LacksEvent }

// DependsOnOthers reports whether it must be known if another connection to the replica is open EndSettleTime after the
// end. The other daemon and the replica are connected to after that.
func (e ResponseEnd) DependsOnOthers() bool {
	return e.endsWithConn() && (!e.Leaving || e.DependsOnPeer())
}

// DependsOnPeer reports whether it must be known if the other daemon still runs.
func (e ResponseEnd) DependsOnPeer() bool {
	return e.endsWithConn() && e.ThroughPeer && !e.EndConfirmed
}

// DependsOnNewConn reports whether it must be known if the replica accepts connections.
func (e ResponseEnd) DependsOnNewConn() bool {
	return e.mayBeComplete() && !e.Leaving && !e.OtherOpen
}

// mayBeComplete reports whether the response ended with its connection, and the other daemon does not show that it was
// cut off.
func (e ResponseEnd) mayBeComplete() bool {
	return e.endsWithConn() && (!e.ThroughPeer || e.EndConfirmed || e.PeerRuns)
}

// Basis returns how it is known that the response is complete, or EndUnknown if it is not.
func (e ResponseEnd) Basis() EndBasis {
	switch {
	case e.Framing == FramedByLength:
		return EndByLength
	case e.Framing == FramedByChunks:
		return EndByChunks
	case !e.mayBeComplete(), e.DependsOnNewConn() && e.NewConn == NewConnRefused:
		return EndUnknown
	case !e.ThroughPeer:
		return EndByConnection
	case e.EndConfirmed:
		return EndByPeerReport
	}
	return EndByPeer
}
