// This file decides whether a response whose connection brought no error is complete.
//
// Inputs: how the response marks its end; who opened the connection to the replica, whether that daemon reported the end, and
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
//  5. If all others ended too, the response is complete only if the replica accepts a new connection. If it does, it runs:
//     a replica takes longer to start.
//  6. If there is no other, nothing speaks for a cut so far. A new connection is tried; the next request to the replica would
//     have to open it anyway. The response is incomplete if it is refused, and complete otherwise: replicas reset
//     connections beyond their limit, and a replica or link that is lost ends none.
//  7. A refusal counts only if another daemon, if there is one, is refused too: links may refuse new connections while open
//     ones live on.
//  8. A replica that is leaving terminates once it has sent its last response, so that ends and refusals say nothing.
//
// What remains: a replica that was killed and whose address accepts connections again, if it is the only sign; one that is
// killed while it is leaving, or while it gets no requests for another reason; and links that end single connections in an
// ordinary way.

package routing

import "time"

const (
	// EndSettleTime is how long the connections and the listener of a process that is killed take to end: 2.2 ms were seen
	// for 200 connections.
	EndSettleTime = 3 * time.Millisecond
	// endConnTime is how long a response without a sign of a cut waits for a new connection, which takes milliseconds
	// within a region.
	endConnTime = 50 * time.Millisecond
)

// Framing says how a response marks its end.
type Framing int

// The values of Framing.
const (
	FramedByLength Framing = iota
	FramedByChunks
	FramedByConnection // it has neither a length nor chunks
)

// OtherConns says what becomes of this daemon's other connections to a replica when one has ended.
type OtherConns int

// The values of OtherConns.
const (
	NoOtherConns OtherConns = iota
	OtherConnsEnded
	OtherConnOpen // one at least
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
	ThroughPeer bool // another daemon opened the connection to the replica
	// EndConfirmed says that the other daemon reported that the replica closed the connection in an ordinary way.
	EndConfirmed bool
	PeerRuns     bool // the other daemon accepts connections
	Leaving      bool // the replica is leaving
	OtherConns   OtherConns
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
	EndConfirmed    EndBasis = "peer_confirmed"  // another daemon reported that the replica closed its connection
	EndByPeer       EndBasis = "peer_connection" // the replica closed the connection of another daemon, which still runs
)

// DependsOnOtherConns reports whether it must be known if other connections to the replica are open EndSettleTime after
// the end. The other daemon and the replica are connected to after that.
func (e ResponseEnd) DependsOnOtherConns() bool {
	return e.Framing == FramedByConnection && (!e.Leaving || e.DependsOnPeer())
}

// DependsOnPeer reports whether it must be known if the other daemon still runs.
func (e ResponseEnd) DependsOnPeer() bool {
	return e.Framing == FramedByConnection && e.ThroughPeer && !e.EndConfirmed
}

// DependsOnNewConn reports whether it must be known if the replica accepts connections, and for how long to try; 0: as
// long as opening one may take.
func (e ResponseEnd) DependsOnNewConn() (bool, time.Duration) {
	switch {
	case !e.mayBeComplete() || e.Leaving:
		return false, 0
	case e.OtherConns == OtherConnsEnded:
		return true, 0
	}
	return e.OtherConns == NoOtherConns, endConnTime
}

// mayBeComplete reports whether the response ended with its connection, and the other daemon does not show that it was
// cut off.
func (e ResponseEnd) mayBeComplete() bool {
	return e.Framing == FramedByConnection && (!e.ThroughPeer || e.EndConfirmed || e.PeerRuns)
}

// replicaRuns reports whether nothing speaks for a replica that was killed.
func (e ResponseEnd) replicaRuns() bool {
	switch {
	case e.Leaving || e.OtherConns == OtherConnOpen:
		return true
	case e.OtherConns == OtherConnsEnded:
		return e.NewConn == NewConnAccepted
	}
	return e.NewConn != NewConnRefused
}

// Basis returns how it is known that the response is complete, or EndUnknown if it is not.
func (e ResponseEnd) Basis() EndBasis {
	switch {
	case e.Framing == FramedByLength:
		return EndByLength
	case e.Framing == FramedByChunks:
		return EndByChunks
	case !e.mayBeComplete() || !e.replicaRuns():
		return EndUnknown
	case !e.ThroughPeer:
		return EndByConnection
	case e.EndConfirmed:
		return EndConfirmed
	}
	return EndByPeer
}
