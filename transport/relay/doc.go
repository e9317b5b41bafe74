// Package relay carries a request to a replica and its answer back. It owns the
// connections to replicas, the evidence of whether a request can have run, the
// decision to send it again, and the relaying of streams.
//
// # Usage
//
//	r := relay.New(relay.Options{View: view, Placer: placer, Budgets: budgets, Codec: codec, Observer: observer})
//	r.Serve(ctx, call, sink)
//
// A front end builds the [Call] and implements [Sink]; the words of the outside
// protocol stand in a [Codec]. A replica's connection serves one request at a
// time, and is used again only if the answer was whole, belonged to the request
// and left nothing behind.
package relay
