// Package gossip defines the messages that daemons of the production front end
// exchange: heartbeats and reports, one datagram each, and the documents that one
// daemon requests from another. The codec is CBOR. Every message is an array, so the
// order of its fields is part of the format. During a rolling upgrade a fleet runs two
// builds, so fields are neither moved nor removed; gossip_test.go checks the bytes.
//
// Rules for changes of the format:
//   - No field is added to an existing message, because the previous build cannot
//     decode an array of another length.
//   - New data goes into a new kind of datagram (reports.go). The previous build
//     drops it, so its loss must be harmless.
//   - A kind is removed one build after its last reader, and its number is never
//     reused.
//   - The meaning of a field can be refined by a CBOR tag on its value (position.go),
//     which a build that does not know the tag ignores.
//
// The package has no state. The types of the routing and membership packages carry no
// encoding; they are converted here. A message from a peer is validated and accepted or
// rejected as a whole.
//
// # Usage
//
//	payload, err := gossip.EncodeHeartbeat(&h) // fits a datagram
//	h, err := gossip.DecodeHeartbeat(payload)
//	packed, err := gossip.EncodeDocuments(&d)  // compressed
//	d, err := gossip.DecodeDocuments(packed)
//	payload, err = gossip.EncodeDigest(&digest) // if the sender can't list what changed
package gossip
