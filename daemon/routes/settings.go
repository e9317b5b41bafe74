// This file defines and validates the settings of a daemon.

package routes

import (
	"fmt"
	"net"
	"time"

	"hingewinch.org/hingewinch/coordination/membership"
	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/state"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	ID     state.DaemonID      `yaml:"id"`
	Domain state.FailureDomain `yaml:"domain"`
	Listen Listeners           `yaml:"listen"`
	// PeerAddress is the address at which peers reach this daemon if it differs from
	// listen.peers, as behind NAT. If empty, it is listen.peers.
	PeerAddress string `yaml:"peer_address"`
	// SourceAddress is the IP number from which this daemon connects to replicas, on a VM that has
	// several. If empty, the operating system chooses it.
	SourceAddress string        `yaml:"source_address"`
	Store         string        `yaml:"store"` // IP:PORT of the operators' store
	Seeds         []string      `yaml:"seeds"` // IP:PORT of other daemons; the port is ignored
	Stop          StopSettings  `yaml:"stop"`
	Retry         RetrySettings `yaml:"repeat"`
	MemoryMB      int           `yaml:"memory_mb"`  // memory of the process; 0 if no limit is known
	Files         int           `yaml:"open_files"` // descriptors that the process may open; 0: as the operating system says
	LogLevel      string        `yaml:"log_level"`
}

// Listeners are the addresses that a daemon listens on, each IP:PORT.
type Listeners struct {
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"` // heartbeats over UDP, documents over TCP
	// Metrics is a separate address for scrapers. If empty, metrics are served only at
	// Operators.
	Metrics string `yaml:"metrics"`
}

// StopSettings configure a graceful shutdown.
type StopSettings struct {
	// Grace is the time between the termination signal and the kill.
	Grace time.Duration `yaml:"grace"`
}

// RetrySettings limit the retries of all daemons together.
type RetrySettings struct {
	Ratio  float64       `yaml:"ratio"`
	Extra  float64       `yaml:"extra"`
	Window time.Duration `yaml:"window"`
}

// Defaults of the settings.
const (
	defaultGrace       = 8 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetryExtra  = 10
	defaultRetryWindow = 10 * time.Second
	defaultLevel       = "info"
)

func defaultSettings() Settings {
	return Settings{
		Stop:     StopSettings{Grace: defaultGrace},
		Retry:    RetrySettings{Ratio: defaultRetryRatio, Extra: defaultRetryExtra, Window: defaultRetryWindow},
		LogLevel: defaultLevel,
	}
}

// LoadSettings reads and validates a settings file. The error lists every problem with
// its file, line and remedy.
func LoadSettings(file string) (*Settings, error) {
	return daemon.LoadSettings(file, defaultSettings(), (*Settings).check)
}

func (s *Settings) check(c *state.Checker) {
	if s.ID == "" {
		c.Add("id is missing", "name this daemon", "id")
	}
	if s.Domain == "" {
		c.Add("domain is missing", "name the failure domain of this VM", "domain")
	}
	c.Address(s.Listen.Callers, "listen", "callers")
	c.Address(s.Listen.Readiness, "listen", "readiness")
	c.Address(s.Listen.Operators, "listen", "operators")
	c.Address(s.Listen.Peers, "listen", "peers")
	if s.Listen.Metrics != "" {
		c.Address(s.Listen.Metrics, "listen", "metrics")
	}
	if s.PeerAddress != "" {
		c.Address(s.PeerAddress, "peer_address")
	}
	if s.SourceAddress != "" && net.ParseIP(s.SourceAddress) == nil {
		c.Add(fmt.Sprintf("source_address %q is no IP number", s.SourceAddress), "write an IP number of this VM, or leave it out", "source_address")
	}
	c.Address(s.Store, "store")
	for i, seed := range s.Seeds {
		c.Address(seed, "seeds", i)
	}
	if s.Stop.Grace <= 0 {
		c.Add("grace is not above 0", "write a time such as 8s", "stop", "grace")
	}
	if s.Retry.Ratio < 0 || s.Retry.Extra < 0 || s.Retry.Window <= 0 {
		c.Add("repeat has a negative value or no window", "write ratio and extra of 0 or more and a window such as 10s", "repeat")
	}
	if s.MemoryMB < 0 {
		c.Add("memory_mb is negative", "write the memory of the process, or leave it out", "memory_mb")
	}
	if s.Files < 0 {
		c.Add("open_files is negative", "write how many descriptors the process may open, or leave it out", "open_files")
	}
	c.LogLevel(s.LogLevel, "log_level")
}

// files returns how many descriptors the daemon may open.
func (s *Settings) files() int {
	if s.Files > 0 {
		return min(s.Files, daemon.FileLimit())
	}
	return daemon.FileLimit()
}

// seedPeers returns the addresses at which the seeds receive heartbeats. The port is that of
// listen.peers, which is the same on all VMs.
func (s *Settings) seedPeers() []membership.Address {
	_, port, _ := net.SplitHostPort(s.Listen.Peers)
	out := make([]membership.Address, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		out = append(out, membership.Address(net.JoinHostPort(host, port)))
	}
	return out
}

// advertised returns the address at which peers reach this daemon.
func (s *Settings) advertised() membership.Address {
	if s.PeerAddress != "" {
		return membership.Address(s.PeerAddress)
	}
	return membership.Address(s.Listen.Peers)
}

func (s *Settings) retryRule() routing.RetryRule {
	return routing.RetryRule{Ratio: s.Retry.Ratio, Extra: s.Retry.Extra, Window: s.Retry.Window}
}
