// Package router puts the daemon of a route-driven front end together: the
// control loop that owns what the daemon believes, the readers of the
// operators' store, the messages between daemons, the servers, the log and the
// metrics.
//
// # Usage
//
//	settings, err := router.LoadSettings(file)
//	d, err := router.New(settings, os.Stdout)
//	err = d.Run(ctx) // until ctx ends, then a planned stop
//
// One goroutine, the control loop, owns the documents and the roster. It takes
// typed events from a channel and publishes an immutable [routing.View]. Traffic
// reads views and never waits for the control loop.
package routes
