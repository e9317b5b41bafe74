package openai

import "hingewinch.org/hingewinch/daemon"

// OperatorAddress returns where operators are served.
func (d *Daemon) OperatorAddress() string { return d.operators.Address() }

// ParseSettings parses and checks the text of a settings file.
func ParseSettings(file string, text []byte) (*Settings, error) {
	return complete(daemon.ParseSettings(file, text, defaultSettings(), (*Settings).check))
}
