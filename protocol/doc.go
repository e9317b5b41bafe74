// Package protocol defines the shapes on the wire: what callers, engines, the
// platform and peers send, and how it is read and checked. It does no I/O of
// its own beyond reading from an io.Reader it is given.
//
// Each outside system has one small file, so that another system's protocol can
// take its place: openai.go for callers and engines' answers, engine.go for
// what engines say of themselves, platform.go for the published documents,
// gossip.go for peers of the OpenAI front end.
//
// # Usage
//
//	req, err := protocol.ParseChat(body)
//	if err != nil {
//		// *protocol.BadRequestError: its message names the remedy
//	}
//	key := coordination.ChatKeyOf(w.Name, req.Model, req.Identity())
package protocol
