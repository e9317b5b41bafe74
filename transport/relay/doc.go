// Package relay forwards requests to replicas and their responses to callers. It owns
// the connections to replicas and determines, for each failed attempt, whether the
// replica may have run the request.
//
// All decisions are made by coordination/routing: which replica to use, whether to
// retry, how long to wait. A front end builds the [Call] and implements [Sink]; a
// [Codec] implements the replicas' protocol.
//
// A connection carries one request at a time. It is reused only if the response was
// complete, belonged to the request, and no further bytes followed it.
//
// # Usage
//
//	r := relay.New(relay.Options{View: view, Placer: placer, Budgets: budgets, Codec: codec, Observer: observer, Pool: relay.NewPool(nil), RequestTransfer: requestTransfer})
//	summary := r.Serve(ctx, call, sink) // returns when the caller has its final response
package relay
