package openai

import "hingewinch.org/hingewinch/daemon"

// OperatorAddress returns the address of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.operators.Address() }

// ParseSettings parses and validates the text of a settings file.
func ParseSettings(file string, text []byte) (*Settings, error) {
	return complete(daemon.ParseSettings(file, text, defaultSettings(), (*Settings).check))
}
