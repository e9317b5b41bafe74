// Package relay carries a request to a replica and its answer back. It owns the
// connections to replicas, for as long as they are open, and the evidence of
// whether a request can have run.
//
// It relies on coordination/routing for every decision: which replica, whether to
// send again, how long to wait. A front end builds the [Call] and implements
// [Sink]; the words of the outside protocol stand in a [Codec].
//
// A replica's connection serves one request at a time, and is used again only if
// the answer was whole, belonged to the request and left nothing behind.
//
// # Usage
//
//	r := relay.New(relay.Options{View: view, Placer: placer, Budgets: budgets, Codec: codec, Observer: observer, Pool: relay.NewPool(), Borrow: borrow})
//	summary := r.Serve(ctx, call, sink) // returns when the caller has its final answer
package relay
