package routes

// Serving names one of the daemon's listeners.
type Serving int

// The daemon's listeners.
const (
	ServesCallers Serving = iota
	ServesReadiness
	ServesOperators
)

// Address returns where a listener is served.
func (d *Daemon) Address(s Serving) string {
	l := [...]*listener{ServesCallers: d.callers, ServesReadiness: d.readiness, ServesOperators: d.operators}[s]
	return l.socket.Addr().String()
}
