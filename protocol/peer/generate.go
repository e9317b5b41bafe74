// Package peer holds the messages that daemons exchange, generated from
// peer.proto, as Protocol Buffers over twirp.
//
// # Usage
//
// The generated code is committed, so a build needs no generator. After a
// change of peer.proto run, with buf, protoc-gen-go and protoc-gen-twirp on the
// path:
//
//	cd protocol/peer && buf generate
package peer
