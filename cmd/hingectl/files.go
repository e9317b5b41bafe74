// This file implements the commands that need no daemon: check, diff and key.

package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"reflect"
	"sort"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/state"
)

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute validates the file and prints a summary.
func (c *checkCommand) Execute([]string) error {
	cfg, err := readConfig(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: version %d is valid: %d workspaces, %d models, %d engine groups, %d services, %d bytes\n",
		c.Args.File, cfg.Version, len(cfg.Workspaces), len(cfg.Models), len(cfg.Engines), len(cfg.Services), len(cfg.Text()))
	return nil
}

func readConfig(file string) (*state.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration file; check its path and permissions")
	}
	return state.ParseConfig(file, text)
}

type diffCommand struct {
	Args struct {
		Old string `positional-arg-name:"OLD"`
		New string `positional-arg-name:"NEW"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints one line for each configuration entry that was added, removed or changed. It returns
// an error if daemons would reject the new file because its version is not higher.
func (c *diffCommand) Execute([]string) error {
	before, err := readConfig(c.Args.Old)
	if err != nil {
		return err
	}
	after, err := readConfig(c.Args.New)
	if err != nil {
		return err
	}
	for _, line := range diffEntries(flatten(before), flatten(after)) {
		fmt.Println(line)
	}
	if after.Head().Compare(before.Head()) <= 0 {
		return eris.Errorf("version %d would be rejected: it is not newer than version %d; use a higher version", after.Version, before.Version)
	}
	return nil
}

// flatten returns the entries of a configuration, keyed by kind and name.
func flatten(c *state.Config) map[string]any {
	out := map[string]any{"version": c.Version, "routing": c.Routing, "once": c.Once}
	for _, r := range c.Regions {
		out["region "+string(r.Name)] = r
	}
	for _, m := range c.Models {
		out["model "+string(m.Name)] = m
	}
	for _, e := range c.Engines {
		out["engine group "+string(e.Name)] = e
	}
	for _, s := range c.Services {
		out["service "+string(s.Name)] = s
	}
	for _, w := range c.Workspaces {
		out["workspace "+string(w.Name)] = w
	}
	return out
}

// diffEntries returns one sorted line per difference: + for added entries, ~ for changed ones and - for
// removed ones.
func diffEntries(before, after map[string]any) []string {
	var lines []string
	for name, entry := range after {
		old, existed := before[name]
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("+ %s: %+v", name, entry))
		case !reflect.DeepEqual(old, entry):
			lines = append(lines, fmt.Sprintf("~ %s: %+v -> %+v", name, old, entry))
		}
	}
	for name := range before {
		if _, kept := after[name]; !kept {
			lines = append(lines, "- "+name)
		}
	}
	sort.Strings(lines)
	return lines
}

type keyCommand struct {
	Args struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"yes"`
}

const newKeyBytes = 24

// Execute prints the hash of the key for the configuration file. Without an argument it first generates
// and prints a new key.
func (c *keyCommand) Execute([]string) error {
	key := c.Args.Key
	if key == "" {
		b := make([]byte, newKeyBytes)
		if _, err := rand.Read(b); err != nil {
			return eris.Wrap(err, "generate key: read random bytes")
		}
		key = "hw-" + base64.RawURLEncoding.EncodeToString(b)
		fmt.Println("key: ", key)
	}
	fmt.Println("hash:", state.HashKey(key))
	return nil
}
