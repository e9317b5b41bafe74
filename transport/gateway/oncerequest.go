// This file defines requests that must not run twice, and their results.

package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net/http"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/state"
)

// OnceRequest is a request that must not be repeated, with its key.
type OnceRequest struct {
	ID        state.RequestID
	Workspace state.WorkspaceID
	Service   state.ServiceID
	Key       string
	Method    string
	Target    string
	Header    http.Header
	Body      []byte
}

func (r *OnceRequest) ledgerKey() fleet.LedgerKey {
	return fleet.LedgerKey{Workspace: r.Workspace, Service: r.Service, Key: r.Key}
}

// fingerprint distinguishes a repeat from a different request with the same key.
func (r *OnceRequest) fingerprint() fleet.Fingerprint {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(r.Method), []byte(r.Target), r.Body} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(field)))
		h.Write(n[:])
		h.Write(field)
	}
	return fleet.Fingerprint(h.Sum(nil))
}

// OnceResult is the result of a request with a key: [OnceAnswer], [OnceRefusal],
// [OnceConflict] or, between daemons, [OnceChallenge].
type OnceResult interface{ isOnceResult() }

// OnceAnswer is the service's response.
type OnceAnswer struct {
	Answer   *fleet.StoredAnswer
	Replayed bool
}

// OnceRefusal means that there is no response.
type OnceRefusal struct{ Outcome coordination.Outcome }

// OnceConflict means that the key is not valid for this request; Err says why.
type OnceConflict struct{ Err error }

// OnceChallenge tells a peer to send the request again with the challenge.
type OnceChallenge struct{ Challenge string }

func (OnceAnswer) isOnceResult()    {}
func (OnceRefusal) isOnceResult()   {}
func (OnceConflict) isOnceResult()  {}
func (OnceChallenge) isOnceResult() {}

var (
	_ OnceResult = OnceAnswer{}
	_ OnceResult = OnceRefusal{}
	_ OnceResult = OnceConflict{}
	_ OnceResult = OnceChallenge{}
)

// errKeyReused is the cause of a conflict.
var errKeyReused = errors.New("key was used for another request; use a new key for each request")
