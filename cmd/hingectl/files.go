// This file holds the commands that work on files: check, diff and key.

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

// Execute checks the file.
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
		return nil, eris.Wrap(err, "read configuration; check the path and rights")
	}
	return state.ParseConfig(file, text)
}

type diffCommand struct {
	Args struct {
		Old string `positional-arg-name:"OLD"`
		New string `positional-arg-name:"NEW"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints one line for each entry that is added, removed or changed.
func (c *diffCommand) Execute([]string) error {
	before, err := readConfig(c.Args.Old)
	if err != nil {
		return err
	}
	after, err := readConfig(c.Args.New)
	if err != nil {
		return err
	}
	for _, line := range diffEntries(entries(before), entries(after)) {
		fmt.Println(line)
	}
	if after.Head().Compare(before.Head()) <= 0 {
		return eris.Errorf("version %d would not be taken: it is not newer than %d; write a higher version", after.Version, before.Version)
	}
	return nil
}

// entries flattens a configuration into named entries.
func entries(c *state.Config) map[string]any {
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

func diffEntries(before, after map[string]any) []string {
	var lines []string
	for name, v := range after {
		old, had := before[name]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s: %+v", name, v))
		case !reflect.DeepEqual(old, v):
			lines = append(lines, fmt.Sprintf("~ %s: %+v -> %+v", name, old, v))
		}
	}
	for name := range before {
		if _, has := after[name]; !has {
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

// Execute prints a key and the hash that goes into the file.
func (c *keyCommand) Execute([]string) error {
	key := c.Args.Key
	if key == "" {
		b := make([]byte, newKeyBytes)
		if _, err := rand.Read(b); err != nil {
			return eris.Wrap(err, "read random bytes")
		}
		key = "hw-" + base64.RawURLEncoding.EncodeToString(b)
		fmt.Println("key: ", key)
	}
	fmt.Println("hash:", state.HashKey(key))
	return nil
}
