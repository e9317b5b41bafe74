// Package daemon holds what the daemons of both front ends need once: servers on
// their sockets and the reading of settings files. The daemons themselves stand
// below it: routes serves the front end in production, openai the OpenAI
// protocol.
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
