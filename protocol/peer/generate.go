// Package peer defines the messages that daemons exchange: Protocol Buffers over
// Twirp, generated from peer.proto.
//
// # Usage
//
// The generated code is committed, so builds do not need the generators. After a
// change to peer.proto, run the following with buf, protoc-gen-go and
// protoc-gen-twirp in PATH:
//
//	cd protocol/peer && buf generate
package peer
