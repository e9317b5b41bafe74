// This file turns the text of an operators' file into a Config. A file is
// taken whole or not at all.

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

// Defaults of the operators' file.
const (
	DefaultBound  = 1.25
	DefaultWindow = 2 * time.Minute
	DefaultLease  = 20 * time.Second
)

// Problem is one fault of a file.
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

// InvalidFileError lists every problem that was found in a file. Nothing of
// the file has been applied.
type InvalidFileError struct {
	Problems []Problem
}

// Error gives one line for each problem.
func (e *InvalidFileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// ParseConfig parses and checks an operators' file. The error is an
// [*InvalidFileError] that lists every problem. The text is kept and must not
// be changed afterwards.
func ParseConfig(file string, text []byte) (*Config, error) {
	if len(text) > MaxConfigBytes {
		return nil, invalid(file, 1, fmt.Sprintf("file has %d bytes, more than %d", len(text), MaxConfigBytes), "split workspaces over fewer keys or remove unused entries")
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

// DecodeStrict decodes one YAML document into v and refuses unknown keys. The
// error is an [*InvalidFileError].
func DecodeStrict(file string, text []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	err := dec.Decode(v)
	if errors.Is(err, io.EOF) {
		return invalid(file, 1, "file is empty", "write at least a version")
	}
	if err != nil {
		return yamlProblems(file, err)
	}
	var extra yaml.Node
	if err := dec.Decode(&extra); !errors.Is(err, io.EOF) {
		return invalid(file, extra.Line, "file holds more than one document", "remove everything from the second --- on")
	}
	return nil
}

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

func (c *Config) index() {
	c.keys = make(map[keySum]*Workspace)
	c.workspaces = make(map[WorkspaceID]*Workspace, len(c.Workspaces))
	c.services = make(map[ServiceID]*Service, len(c.Services))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		c.workspaces[w.Name] = w
		for _, k := range w.Keys {
			if sum, ok := k.sum(); ok {
				c.keys[sum] = w
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

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// yamlProblems turns the library's messages, which carry the line as text,
// into problems.
func yamlProblems(file string, err error) *InvalidFileError {
	msgs := []string{err.Error()}
	var te *yaml.TypeError
	if errors.As(err, &te) {
		msgs = te.Errors
	}
	out := &InvalidFileError{}
	for _, msg := range msgs {
		p := Problem{File: file, Line: 1, Text: strings.TrimPrefix(msg, "yaml: "), Remedy: "correct the syntax"}
		if m := yamlLine.FindStringSubmatch(msg); m != nil {
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
