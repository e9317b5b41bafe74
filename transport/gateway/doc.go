// Package gateway serves the OpenAI front end: chats, plain services and tickets for
// callers, the exchange with peers, the operators' listener, and the clients for
// engines, services and the platform. The decisions, such as which upstream serves a
// request and which daemon runs a key at most once, are made in coordination/fleet.
//
// Each request reads one immutable snapshot and takes no lock of the control loop.
// What requests reveal about upstreams is sent to the control loop as events.
//
// # Usage
//
//	up := gateway.NewUpstreams(gateway.UpstreamOptions{})
//	gw := gateway.New(gateway.Options{
//		Snapshot:  control.Snapshot,
//		Upstreams: up,
//	})
//	http.Serve(listener, gw)
package gateway
