// Package protocol defines, parses and validates the messages that callers,
// engines, the platform and peers exchange with the daemon. Its only I/O is reading
// from an io.Reader passed to it.
//
// The protocol of each external system is in a file of its own, so that it can be
// replaced: openai.go for callers and engine responses, engine.go for the state
// that engines report, platform.go for the published documents, gossip.go for peers
// of the OpenAI front end.
//
// # Usage
//
//	req, err := protocol.ParseChat(body)
//	if err != nil {
//		// a *protocol.BadRequestError, whose message includes the remedy
//	}
//	key := coordination.ChatKeyOf(w.Name, req.Model, req.Identity())
package protocol
