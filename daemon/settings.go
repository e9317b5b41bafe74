// This file loads settings files.

package daemon

import (
	"os"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state"
)

// LoadSettings reads a settings file on top of the defaults and validates the result.
// The error lists every problem with its file, line and remedy.
func LoadSettings[T any](file string, defaults T, check func(*T, *state.Checker)) (*T, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read settings; check the path and rights")
	}
	return ParseSettings(file, text, defaults, check)
}

// ParseSettings is [LoadSettings] for text that is already in memory. file is the name
// used in errors.
func ParseSettings[T any](file string, text []byte, defaults T, check func(*T, *state.Checker)) (*T, error) {
	s := defaults
	if err := state.DecodeStrict(file, text, &s); err != nil {
		return nil, err
	}
	c := state.NewChecker(file, text)
	check(&s, c)
	if err := c.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}
