package relay

import "time"

// SetProbeWait sets how long a request waits for the first probes, so that a test does not depend on how
// busy the machine is.
func (p *Pool) SetProbeWait(d time.Duration) { p.probeWait = d }
