// Package routes is the daemon of the front end in production: requests by host and
// path, replicas and configuration from a store that can only be read.
//
// It owns what the daemon knows, for the life of the process. One goroutine, the
// control loop (control.go), owns the documents (catalog.go), the roster, what is
// sent to peers (heartbeat.go) and fetched from them (sync.go); it takes typed
// events (events.go) and publishes an immutable routing.View. A second goroutine
// reads the store (store.go), a third receives heartbeats (peers.go). Traffic
// reads views and never waits for the control loop.
//
// It relies on coordination/routing and coordination/membership for decisions, on
// transport/relay for requests, and on an [Outside] for all that is peculiar to a
// platform.
//
// # Usage
//
//	settings, err := routes.LoadSettings(file)
//	d, err := routes.New(settings, outside, os.Stdout)
//	err = d.Run(ctx) // until ctx ends, then a planned stop
package routes
