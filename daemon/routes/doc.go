// Package routes implements the daemon of the production front end. It routes requests
// by host and path, and learns replicas and configuration from a read-only store.
//
// The package owns the daemon's in-memory state. One goroutine, the control loop
// (control.go), owns the documents (catalog.go), the roster, and the messages sent to
// peers (heartbeat.go) and documents fetched from them (sync.go). It processes typed
// events (events.go) and publishes an immutable routing.View. A second goroutine reads
// the store (store.go), and a third receives datagrams from peers (peers.go). The
// request path reads views and never waits for the control loop.
//
// Decisions are made in coordination/routing and coordination/membership, requests are
// forwarded by transport/relay, and everything specific to a platform is in an
// [Platform].
//
// # Usage
//
//	settings, err := routes.LoadSettings(file)
//	d, err := routes.New(settings, platform, os.Stdout)
//	err = d.Run(ctx) // until ctx is canceled, then shuts down gracefully
package routes
