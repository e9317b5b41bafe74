// Package gateway serves the OpenAI front end: chats, plain services and tickets
// towards callers, the exchange with peers, the operators' listener, and the
// clients towards engines, services and the platform that the OpenAI front end
// runs on. Which upstream takes a request and who runs a key at most once is
// decided in coordination/fleet.
//
// Traffic reads one immutable snapshot per request and takes no lock of the
// control loop. What traffic learns goes to the control loop as an event.
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
