// Package daemon wires the layers into one process: it reads the settings,
// opens the listeners, runs the control loop and stops as planned.
//
// One goroutine owns the control state. It takes typed events from a channel,
// hands them to a coordination.Fleet and carries out the effects; traffic reads
// the snapshots that it publishes.
//
// # Usage
//
//	settings, err := daemon.LoadSettings("hingewinchd.yaml")
//	if err != nil {
//		return err
//	}
//	d, err := daemon.New(settings, logger)
//	if err != nil {
//		return err
//	}
//	err = d.Run(ctx) // returns when ctx has ended and all requests are done
package openai
