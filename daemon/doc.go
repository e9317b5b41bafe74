// Package daemon contains code shared by the daemons of both front ends: HTTP
// servers bound to their sockets, and loading of settings files. The daemons are
// subpackages: routes serves the production front end, openai the OpenAI protocol.
//
// # Usage
//
//	l, err := daemon.Listen("tcp4", address, daemon.Limits{ReadHeader: 10 * time.Second}, logger)
//	l.Server.Handler = handler
//	go l.Serve(failed)
//	defer l.Close()
//
//	settings, err := daemon.LoadSettings(file, defaults, check)
package daemon
