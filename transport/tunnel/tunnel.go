// Package tunnel opens connections to replicas through another daemon.
//
// A daemon that has lost its own links to replicas asks a peer, over the HTTP listener for peers, to
// connect to a replica. From then on the peer copies bytes in both directions and knows nothing of
// the requests: which replica gets one, whether it may run again and how it is counted remain
// decisions of the daemon that received it. To that daemon the connection behaves like one of its own.
// If the replica resets it, it is reset; if the daemon closes it, because a caller has disconnected,
// the replica's end is closed at once.
//
// The package owns the exchange that opens a connection, and the copying. Which peer is asked, and
// which replicas a peer connects to, is decided by the users of the package. A replica is named by its
// id and start time, never by an address, so that a peer connects only to replicas that it knows.
//
// # Usage
//
// At the daemon that asks:
//
//	conn, reader, err := tunnel.Dial(ctx, dialer, peerAddress, incarnation)
//	var refused *tunnel.Refused
//	if errors.As(err, &refused) && refused.Reason == tunnel.ReasonReplicaRefused { ... }
//
// The reader must be used for reading, since it may hold bytes that arrived with the peer's response.
//
// At the peer, server is a [Server], and it handles [Path] of the listener for peers:
//
//	mux.Handle("GET "+tunnel.Path, server)
//	server.Close(ctx) // waits for open connections
package tunnel

import (
	"errors"
	"net/url"
	"strconv"
	"syscall"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/routing"
)

// Path is where a daemon accepts requests for connections.
const Path = "/connections"

const (
	// upgradeProtocol names the protocol in the Upgrade header.
	upgradeProtocol = "hingewinch-connection"
	// headerReason holds the [Reason] of a refusal. A response without it comes from a build that
	// opens no connections for others.
	headerReason = "Hingewinch-Reason"
	// Query parameters of a request: the replica's id and its start time.
	paramReplica = "replica"
	paramStart   = "born"
)

// Reason is why a peer opened no connection.
type Reason string

// The reasons of refusals.
const (
	// ReasonReplicaRefused: the replica refused the peer's connection.
	ReasonReplicaRefused Reason = "replica_refused"
	// ReasonReplicaUnreachable: the peer's connection to the replica failed otherwise.
	ReasonReplicaUnreachable Reason = "replica_unreachable"
	// ReasonUnknownReplica: the peer does not know the replica.
	ReasonUnknownReplica Reason = "unknown_replica"
	// ReasonNoLink: the peer has lost its own links to the service's replicas.
	ReasonNoLink Reason = "no_link"
	// ReasonBusy: the peer has as many connections for others as it takes.
	ReasonBusy Reason = "busy"
	// ReasonStopping: the peer is shutting down.
	ReasonStopping Reason = "stopping"
)

// Refused is the error of a connection that a peer refused to open.
type Refused struct{ Reason Reason }

func (r *Refused) Error() string { return "peer opened no connection: " + string(r.Reason) }

// Unwrap returns ECONNREFUSED if the replica refused the connection, so that the error is handled like
// that of a connection of this daemon's own.
func (r *Refused) Unwrap() error {
	if r.Reason == ReasonReplicaRefused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// AboutReplica reports whether the peer tried the replica, so that the refusal says something about
// the replica rather than the peer.
func (r *Refused) AboutReplica() bool {
	return r.Reason == ReasonReplicaRefused || r.Reason == ReasonReplicaUnreachable
}

// ErrUnsupported means that the peer's build opens no connections for others.
var ErrUnsupported = errors.New("peer's build opens no connections for others")

// encodeReplica returns a replica as a URL query.
func encodeReplica(id routing.Incarnation) string {
	return url.Values{paramReplica: {string(id.ID)}, paramStart: {strconv.FormatInt(int64(id.StartTime), 10)}}.Encode()
}

// decodeReplica parses the result of encodeReplica.
func decodeReplica(v url.Values) (routing.Incarnation, error) {
	start, err := strconv.ParseInt(v.Get(paramStart), 10, 64)
	if err != nil || v.Get(paramReplica) == "" {
		return routing.Incarnation{}, eris.Errorf("no replica and start time in %q", v.Encode())
	}
	return routing.Incarnation{ID: routing.ReplicaID(v.Get(paramReplica)), StartTime: routing.StartTime(start)}, nil
}
