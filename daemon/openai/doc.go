// Package openai wires the OpenAI front end into one process: it reads the settings,
// opens the listeners, runs the control loop and stops as planned.
//
// One goroutine owns the control state. It takes typed events from a channel,
// hands them to a fleet.Fleet and carries out the effects; traffic reads
// the snapshots that it publishes.
//
// # Usage
//
//	settings, err := openai.LoadSettings("hingewinchd.yaml")
//	if err != nil {
//		return err
//	}
//	d, err := openai.New(settings, logger)
//	if err != nil {
//		return err
//	}
//	err = d.Run(ctx) // returns when ctx has ended and all requests are done
package openai
