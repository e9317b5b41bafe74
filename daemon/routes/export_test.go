package routes

import "hingewinch.org/hingewinch/daemon"

// Serving identifies one of the daemon's listeners.
type Serving int

// The daemon's listeners.
const (
	ServesCallers Serving = iota
	ServesReadiness
	ServesOperators
)

// Address returns the address of a listener.
func (d *Daemon) Address(s Serving) string {
	l := [...]*daemon.Listener{ServesCallers: d.callers, ServesReadiness: d.readiness, ServesOperators: d.operators}[s]
	return l.Address()
}

// ParseSettings parses and checks the text of a settings file.
func ParseSettings(file string, text []byte) (*Settings, error) {
	return daemon.ParseSettings(file, text, defaultSettings(), (*Settings).check)
}

// SharesCrowds reports whether the request path and the control loop share the table of
// overloaded replicas.
func (d *Daemon) SharesCrowds() bool {
	return d.control.overloads != nil && d.Relay.Placer.Overloads == d.control.overloads
}

// SharesCrashes reports whether the request path and the control loop share the table of
// replica crashes.
func (d *Daemon) SharesCrashes() bool {
	return d.control.crashes != nil && d.Relay.Crashes == d.control.crashes
}
