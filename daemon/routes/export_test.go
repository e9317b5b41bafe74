package routes

import (
	"context"

	"hingewinch.org/hingewinch/daemon"
)

// ListenerKind identifies one of the daemon's listeners.
type ListenerKind int

// The daemon's listeners.
const (
	CallersListener ListenerKind = iota
	ReadinessListener
	OperatorsListener
)

// Address returns the address of a listener.
func (d *Daemon) Address(s ListenerKind) string {
	l := [...]*daemon.Listener{CallersListener: d.callers, ReadinessListener: d.readiness, OperatorsListener: d.operators}[s]
	return l.Address()
}

// ParseSettings parses and checks the text of a settings file.
func ParseSettings(file string, text []byte) (*Settings, error) {
	return daemon.ParseSettings(file, text, defaultSettings(), (*Settings).check)
}

// SharesOverloads reports whether the request path and the control loop share the table of
// overloaded replicas.
func (d *Daemon) SharesOverloads() bool {
	return d.control.overloads != nil && d.Relay.Placer.Overloads == d.control.overloads
}

// SharesCrashes reports whether the request path and the control loop share the table of
// replica crashes.
func (d *Daemon) SharesCrashes() bool {
	return d.control.crashes != nil && d.Relay.Crashes == d.control.crashes
}

// PauseControl keeps the control loop from doing anything until the function that it returns is called. What arrives waits in
// the queue, as it waits in sockets while the process is paused.
func (d *Daemon) PauseControl() (resume func()) {
	reply := make(chan documentsResponse)
	d.control.post(context.Background(), documentsRequested{reply: reply})
	return func() { <-reply }
}
