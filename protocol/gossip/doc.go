// Package gossip defines what daemons of the front end in production send each
// other: heartbeats, one datagram each, and the documents that one daemon asks
// another for. The codec is CBOR; every message is an array, so that the order of
// the fields is the format. A fleet runs two builds during each replacement:
// fields are neither moved nor removed (gossip_test.go holds the bytes).
//
// How the wire changes: a field is never added to a message that exists, since an array of another
// length is not read by the build before. What is new goes into a kind of datagram of its own
// (reports.go), which the build before drops, and whose loss must be harmless. A kind goes only
// one build after nobody reads it any more; its number is not used again. What a field means more
// exactly may be said by a tag of its value (position.go): who does not know the tag reads past it.
//
// It owns no state. The types of the decisions carry no encoding; they are
// converted here. What a peer sends is checked here: nothing is taken of a
// message that is not whole.
//
// # Usage
//
//	payload, err := gossip.EncodeHeartbeat(&h) // fits a datagram
//	h, err := gossip.DecodeHeartbeat(payload)
//	packed, err := gossip.EncodeDocuments(&d)  // compressed
//	d, err := gossip.DecodeDocuments(packed)
//	payload, err = gossip.EncodeDigest(&digest) // for a peer that can't be told what changed
package gossip
