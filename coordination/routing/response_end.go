// This file decides whether a response whose connection brought no error is complete.
//
// Inputs: how the response marks its end; who opened the connection to the replica, and whether that daemon runs; whether
// the connection was reset and the whole request written; whether the links to the replicas are suspect or down
// (reach.go); whether the replica is leaving; and what becomes of this daemon's other connections to the replica, and of a
// new one. The rule:
//
//  1. The end of a response with a length or with chunks is marked in the response itself. Its reader has checked it.
//  2. Any other response ends with its connection. A connection that was reset has not ended so, even if a write got the
//     error, and the read that followed found an ordinary end.
//  3. If another daemon opened the connection, the end is the replica's only if that daemon still runs: the operating system
//     ends the connections of a process that terminates as the replica would have. It is asked after EndSettleTime.
//  4. That is so of a replica's process that is killed as well. All connections of a process end within EndSettleTime, and
//     so does its listener, which may be the last. If another connection to the replica that goes the same way is open
//     then, the process runs, and the response is complete.
//  5. It speaks for a cut that a part of the request was not written, that this daemon's links to the service are suspect or
//     down, and that all other connections ended too. The response is then complete only if the replica accepts a new
//     connection, opened after EndSettleTime. If it does, it runs: a replica takes longer to start.
//  6. If there is no other connection, nothing speaks for a cut so far. A new connection is tried; the next request to the
//     replica would have to open it anyway. The response is incomplete if it is refused, and complete if it is accepted,
//     even if it is reset at once: replicas reset those beyond their limit. It is complete too if nothing is known of the
//     new one after endConnTime: a replica or link that is lost ends no connections.
//  7. A replica that is leaving terminates once it has sent its last response, so that ends of other connections say
//     nothing, and no connection is tried without another sign of a cut.
//
// What remains: a replica that was killed and whose address accepts connections again, if it is the only sign; one that
// is killed while it is leaving; and links that end some connections in an ordinary way before they are suspect.

package routing

import "time"

const (
	// EndSettleTime is how long the connections and the listener of a process that is killed take to end. It was up to
	// 2.2 ms for 200 connections on loopback at a load average of 12 on 8 cores; a listener still accepted after .8 ms.
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
	Framing       Framing
	ThroughPeer   bool // another daemon opened the connection to the replica
	PeerRuns      bool // that daemon accepts connections
	Reset         bool // the connection was reset
	RequestUnsent bool // a part of the request was not written
	LinksSuspect  bool // this daemon opened the connection, and its links to the service are suspect or down
	Leaving       bool // the replica is leaving
	OtherConns    OtherConns
	NewConn       NewConn
}

// EndBasis says how it is known that a response is complete, for the log.
type EndBasis string

// The values of EndBasis.
const (
	EndUnknown      EndBasis = "" // the response may have been cut off
	EndByLength     EndBasis = "length"
	EndByChunks     EndBasis = "chunks"
	EndByConnection EndBasis = "connection"      // the replica closed this daemon's connection
	EndByPeer       EndBasis = "peer_connection" // the replica closed the connection of another daemon, which still runs
)

// DependsOnPeer reports whether it must be known if the other daemon still runs.
func (e ResponseEnd) DependsOnPeer() bool {
	return e.Framing == FramedByConnection && e.ThroughPeer && !e.Reset
}

// DependsOnOtherConns reports whether it must be known if other connections to the replica are open, and how long after
// the end to look. The other daemon and the replica are connected to after that.
func (e ResponseEnd) DependsOnOtherConns() (bool, time.Duration) {
	return e.Framing == FramedByConnection && !e.Reset && (e.ThroughPeer || e.speaksForCut() || !e.Leaving), EndSettleTime
}

// DependsOnNewConn reports whether it must be known if the replica accepts connections, and for how long to try; 0: as
// long as the call may take.
func (e ResponseEnd) DependsOnNewConn() (bool, time.Duration) {
	switch {
	case !e.mayBeComplete():
		return false, 0
	case e.speaksForCut():
		return true, 0
	}
	return e.OtherConns == NoOtherConns && !e.Leaving, endConnTime
}

// mayBeComplete reports whether the response ended with its connection, and neither a reset nor the other daemon shows
// that it was cut off.
func (e ResponseEnd) mayBeComplete() bool {
	return e.Framing == FramedByConnection && !e.Reset && (!e.ThroughPeer || e.PeerRuns)
}

// speaksForCut reports whether there is a sign that the response was cut off.
func (e ResponseEnd) speaksForCut() bool {
	return e.RequestUnsent || e.LinksSuspect || e.OtherConns == OtherConnsEnded && !e.Leaving
}

// Basis returns how it is known that the response is complete, or EndUnknown if it is not.
func (e ResponseEnd) Basis() EndBasis {
	needsConn, _ := e.DependsOnNewConn()
	switch {
	case e.Framing == FramedByLength:
		return EndByLength
	case e.Framing == FramedByChunks:
		return EndByChunks
	case !e.mayBeComplete():
		return EndUnknown
	case needsConn && e.NewConn == NewConnRefused:
		return EndUnknown
	case e.speaksForCut() && e.NewConn != NewConnAccepted:
		return EndUnknown
	case e.ThroughPeer:
		return EndByPeer
	}
	return EndByConnection
}
