// Package openai assembles the OpenAI front end in one process: it reads the settings,
// opens the listeners, runs the control loop and shuts down gracefully.
//
// One goroutine owns the control state. It receives typed events from a channel,
// passes them to a fleet.Fleet and executes the effects; request handlers read the
// snapshots that it publishes.
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
