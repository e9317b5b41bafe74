// This file defines the settings of one daemon. They are read once, at start, and
// validated as a whole.

package openai

import (
	"fmt"
	"net/url"
	"regexp"
	"time"

	"hingewinch.org/hingewinch/daemon"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
	"hingewinch.org/hingewinch/transport/gateway"
)

// Settings is a daemon's settings file.
type Settings struct {
	ID       state.DaemonID      `yaml:"id"`
	Domain   state.FailureDomain `yaml:"domain"`
	Listen   Listeners           `yaml:"listen"`
	Peer     string              `yaml:"peer_address"` // address for peers; listen.peers if empty
	Platform string              `yaml:"platform"`     // base URL
	Seeds    []string            `yaml:"seeds"`
	TLS      TLSSettings         `yaml:"tls"`
	Stop     StopSettings        `yaml:"stop"`
	Limits   LimitSettings       `yaml:"limits"`
	LogLevel string              `yaml:"log_level"`
}

// Listeners are the addresses that a daemon listens on, each host:port.
type Listeners struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// TLSSettings name the files of the TLS identities. The identities for callers and for
// peers are separate, since different authorities sign them.
type TLSSettings struct {
	Callers transport.TLSFiles `yaml:"callers"`
	Peers   transport.TLSFiles `yaml:"peers"`
}

// StopSettings configure the graceful shutdown.
type StopSettings struct {
	// Notice is how long new requests are still accepted after the health check starts
	// to fail. It must be longer than the load balancer takes to notice.
	Notice time.Duration `yaml:"notice"`
}

// LimitSettings are the limits for callers that operators may change.
type LimitSettings struct {
	BodyBytes   int64         `yaml:"body_bytes"`
	AnswerBytes int64         `yaml:"answer_bytes"`
	LedgerBytes int           `yaml:"ledger_bytes"`
	Timeout     time.Duration `yaml:"timeout"`
	FirstByte   time.Duration `yaml:"first_byte"`
	StreamIdle  time.Duration `yaml:"stream_idle"`
	CallerStall time.Duration `yaml:"caller_stall"`
}

// Defaults of the settings.
const (
	defaultNotice      = 5 * time.Second
	defaultLedgerBytes = 16 << 20
	defaultLogLevel    = "info"
	defaultFirstByte   = 2 * time.Minute
)

func defaultSettings() Settings {
	l := gateway.DefaultLimits()
	return Settings{
		Stop:     StopSettings{Notice: defaultNotice},
		LogLevel: defaultLogLevel,
		Limits: LimitSettings{
			BodyBytes: l.BodyBytes, AnswerBytes: l.AnswerBytes, LedgerBytes: defaultLedgerBytes,
			Timeout: l.Timeout, FirstByte: defaultFirstByte, StreamIdle: l.StreamIdle, CallerStall: l.CallerStall,
		},
	}
}

// LoadSettings reads and validates a settings file. The error lists every problem with
// file, line and remedy.
func LoadSettings(file string) (*Settings, error) {
	return complete(daemon.LoadSettings(file, defaultSettings(), (*Settings).check))
}

// complete fills in settings that default to other settings.
func complete(s *Settings, err error) (*Settings, error) {
	if err == nil && s.Peer == "" {
		s.Peer = s.Listen.Peers
	}
	return s, err
}

var idRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

func (s *Settings) check(c *state.Checker) {
	if !idRule.MatchString(string(s.ID)) {
		c.Add(fmt.Sprintf("id %q is missing or invalid", s.ID), "use at most 64 letters, digits and . _ -", "id")
	}
	if s.Domain == "" {
		c.Add("domain is missing", "name the failure domain of this VM", "domain")
	}
	c.Address(s.Listen.Callers, "listen", "callers")
	c.Address(s.Listen.Peers, "listen", "peers")
	c.Address(s.Listen.Operators, "listen", "operators")
	if s.Peer != "" {
		c.Address(s.Peer, "peer_address")
	}
	for i, seed := range s.Seeds {
		c.Address(seed, "seeds", i)
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.Add(fmt.Sprintf("platform %q is not a base URL", s.Platform), "write http://HOST:PORT or https://HOST:PORT", "platform")
	}
	c.LogLevel(s.LogLevel, "log_level")
	s.checkTLS(c)
	s.checkLimits(c)
}

func (s *Settings) checkTLS(c *state.Checker) {
	if t := s.TLS.Callers; !t.IsZero() && (t.Certificate == "" || t.Key == "") {
		c.Add("tls for callers lacks certificate or key", "name both files, or omit the section", "tls", "callers")
	}
	if t := s.TLS.Peers; !t.IsZero() && (t.Certificate == "" || t.Key == "" || t.CA == "") {
		c.Add("tls for peers lacks certificate, key or authority", "name all three files, or omit the section", "tls", "peers")
	}
}

func (s *Settings) checkLimits(c *state.Checker) {
	l := &s.Limits
	for _, limit := range []struct {
		name     string
		positive bool
	}{
		{"body_bytes", l.BodyBytes > 0},
		{"answer_bytes", l.AnswerBytes > 0},
		{"ledger_bytes", l.LedgerBytes > 0},
		{"timeout", l.Timeout > 0},
		{"first_byte", l.FirstByte > 0},
		{"stream_idle", l.StreamIdle > 0},
		{"caller_stall", l.CallerStall > 0},
	} {
		if !limit.positive {
			c.Add(limit.name+" is not above 0", "write a positive value or omit it", "limits", limit.name)
		}
	}
	if s.Stop.Notice < 0 {
		c.Add("notice is negative", "write a time such as 5s", "stop", "notice")
	}
}
