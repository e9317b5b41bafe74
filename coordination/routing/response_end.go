// This file decides whether a response whose connection brought no error is complete.
//
// Inputs: how the response marks its end, and who opened the connection to the replica. The rule:
//
//  1. The end of a response with a length or with chunks is marked in the response itself. Its reader has checked it.
//  2. Any other response ends with its connection. If this daemon opened the connection, its end is the replica's.
//  3. If another daemon opened it, the end is the replica's if that daemon reports so (transport/tunnel/frames.go). One of a
//     build that reports nothing must still run: the operating system ends the connections of a process that terminates as
//     the replica would have.

package routing

// Framing says how a response marks its end.
type Framing int

// The values of Framing.
const (
	FramedByLength Framing = iota
	FramedByChunks
	FramedByConnection // it has neither a length nor chunks
)

// ResponseEnd is what is known of the end of a response.
type ResponseEnd struct {
	Framing     Framing
	ThroughPeer bool // another daemon opened the connection to the replica
	PeerRuns    bool // that daemon accepts connections
	// EndConfirmed says that the other daemon reported that the replica closed the connection in an ordinary way.
	EndConfirmed bool
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

// DependsOnPeer reports whether it must be known if the other daemon still runs.
func (e ResponseEnd) DependsOnPeer() bool {
	return e.Framing == FramedByConnection && e.ThroughPeer && !e.EndConfirmed
}

// Basis returns how it is known that the response is complete, or EndUnknown if it is not.
func (e ResponseEnd) Basis() EndBasis {
	switch {
	case e.Framing == FramedByLength:
		return EndByLength
	case e.Framing == FramedByChunks:
		return EndByChunks
	case !e.ThroughPeer:
		return EndByConnection
	case e.EndConfirmed:
		return EndConfirmed
	case e.PeerRuns:
		return EndByPeer
	}
	return EndUnknown
}
