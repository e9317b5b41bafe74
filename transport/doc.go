// Package transport holds everything that talks over a network: the servers
// towards callers, peers and operators, and the clients towards engines,
// services, peers and the platform. It decides nothing that another daemon
// would have to agree with; those decisions are in the coordination package.
//
// Traffic reads one immutable snapshot per request and takes no lock of the
// control loop. What traffic learns goes to the control loop as an event.
//
// # Usage
//
//	up := transport.NewUpstreams(transport.UpstreamOptions{})
//	gw := transport.NewGateway(transport.GatewayOptions{
//		Snapshot:  control.Snapshot,
//		Upstreams: up,
//		...
//	})
//	http.Serve(listener, gw)
package transport
