// This file parses the text of a configuration file into a Config. A file is
// accepted or rejected as a whole.

package state

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Defaults for values that the configuration file leaves out.
const (
	DefaultBound  = 1.25
	DefaultWindow = 2 * time.Minute
	DefaultLease  = 20 * time.Second
)

// Problem is one error in a file, with a suggestion to fix it.
type Problem struct {
	File   string
	Line   int
	Text   string
	Remedy string
}

// String formats the problem as "file:line: text; remedy".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s; %s", p.File, p.Line, p.Text, p.Remedy)
}

// InvalidFileError lists all problems that were found in a file. No part of
// such a file is applied.
type InvalidFileError struct {
	Problems []Problem
}

// Error formats each problem on its own line.
func (e *InvalidFileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ParseConfig parses and validates a configuration file. The error is an
// [*InvalidFileError] that lists all problems. The configuration keeps a
// reference to the text, which must not be modified afterwards.
func ParseConfig(file string, text []byte) (*Config, error) {
	if len(text) > MaxConfigBytes {
		return nil, invalid(file, 1, fmt.Sprintf("file has %d bytes, more than %d", len(text), MaxConfigBytes), "use fewer keys for each workspace or remove unused entries")
	}
	cfg := &Config{
		Routing: Routing{Bound: DefaultBound},
		Once:    Once{Window: DefaultWindow, Lease: DefaultLease},
	}
	if err := DecodeStrict(file, text, cfg); err != nil {
		return nil, err
	}
	cfg.fillDefaults()
	cfg.text = text
	cfg.head = HeadOf(uint64(cfg.Version), text)
	c := NewChecker(file, text)
	c.config(cfg)
	if err := c.Err(); err != nil {
		return nil, err
	}
	cfg.index()
	return cfg, nil
}

// DecodeStrict decodes a single YAML document into v and rejects unknown keys.
// The error is an [*InvalidFileError].
func DecodeStrict(file string, text []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	err := dec.Decode(v)
	if errors.Is(err, io.EOF) {
		return invalid(file, 1, "file is empty", "set at least a version")
	}
	if err != nil {
		return yamlProblems(file, err)
	}
	var extra yaml.Node
	if err := dec.Decode(&extra); !errors.Is(err, io.EOF) {
		return invalid(file, extra.Line, "file contains more than one document", "remove everything from the second --- on")
	}
	return nil
}

// fillDefaults sets the defaults of list entries. Those of scalar settings are
// set before decoding.
func (c *Config) fillDefaults() {
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if w.Priority == "" {
			w.Priority = PriorityNormal
		}
		if w.Share == 0 {
			w.Share = 1
		}
	}
}

// index builds the lookup tables.
func (c *Config) index() {
	c.keys = make(map[keyDigest]*Workspace)
	c.workspaces = make(map[WorkspaceID]*Workspace, len(c.Workspaces))
	c.services = make(map[ServiceID]*Service, len(c.Services))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		c.workspaces[w.Name] = w
		for _, k := range w.Keys {
			if digest, ok := k.digest(); ok {
				c.keys[digest] = w
			}
		}
	}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
}

func invalid(file string, line int, text, remedy string) *InvalidFileError {
	return &InvalidFileError{Problems: []Problem{{File: file, Line: line, Text: text, Remedy: remedy}}}
}

var yamlLinePattern = regexp.MustCompile(`line (\d+): (.*)`)

// yamlProblems converts an error of the YAML library into problems. The library
// reports line numbers only in the text of its messages.
func yamlProblems(file string, err error) *InvalidFileError {
	msgs := []string{err.Error()}
	var te *yaml.TypeError
	if errors.As(err, &te) {
		msgs = te.Errors
	}
	out := &InvalidFileError{}
	for _, msg := range msgs {
		p := Problem{File: file, Line: 1, Text: strings.TrimPrefix(msg, "yaml: "), Remedy: "correct the syntax"}
		if m := yamlLinePattern.FindStringSubmatch(msg); m != nil {
			p.Line, _ = strconv.Atoi(m[1])
			p.Text = m[2]
		}
		if strings.Contains(p.Text, "not found in type") {
			name, _, _ := strings.Cut(strings.TrimPrefix(p.Text, "field "), " ")
			p.Text = fmt.Sprintf("unknown key %q", name)
			p.Remedy = "remove it or correct its spelling"
		}
		out.Problems = append(out.Problems, p)
	}
	return out
}
