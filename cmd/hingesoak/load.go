// This file holds the commands that measure: load and compare.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hingewinch.org/hingewinch/internal/soak"
)

type loadCommand struct {
	Daemon    string        `long:"daemon" default:"target/hingewinchd" description:"program of the daemon"`
	Daemons   int           `long:"daemons" default:"4" description:"daemons"`
	Domains   int           `long:"domains" default:"2" description:"failure domains"`
	Gate      int           `long:"gate" default:"4" description:"replicas of each plain service"`
	Chat      int           `long:"engines" default:"8" description:"replicas of the engines' service"`
	Rate      float64       `long:"rate" default:"150" description:"requests a second, sent whether earlier ones are answered or not"`
	ChatShare float64       `long:"chats" default:"0.6" description:"share of chats among the requests"`
	Subjects  int           `long:"subjects" default:"200" description:"subjects of chats that return"`
	Skew      float64       `long:"skew" default:"0.8" description:"exponent of the subjects' popularity; 0: all alike"`
	For       time.Duration `long:"for" default:"20s" description:"how long"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the draws"`
	Report    string        `long:"report" default:"load.json" description:"where the figures go"`
}

// Execute measures and prints the figures of each route.
func (c *loadCommand) Execute([]string) error {
	if c.Daemons < 1 || c.Domains < 1 || c.Gate < 1 || c.Chat < 1 || c.Rate <= 0 || c.For <= 0 || c.Skew < 0 {
		return fmt.Errorf("daemons, domains, gate, engines, rate and for must be above 0, skew 0 or more")
	}
	dir, err := os.MkdirTemp("", "hingesoak-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	shape := soak.LoadShape{
		Daemons: c.Daemons, Domains: c.Domains, Gate: c.Gate, Chat: c.Chat, Rate: c.Rate, ChatShare: c.ChatShare,
		Subjects: c.Subjects, Skew: c.Skew, For: c.For, Seed: c.Seed,
	}
	report, err := soak.Measure(ctx, shape, soak.Options{Daemon: c.Daemon, Dir: dir})
	if err != nil {
		return err
	}
	for _, r := range report.Routes {
		fmt.Printf("%-6s %6d requests, %6d served, first part %.1f / %.1f / %.1f ms at 50 / 90 / 99 in 100\n", r.Route, r.Requests, r.Served, r.First.P50, r.First.P90, r.First.P99)
	}
	fmt.Printf("reuse %.3f, greatest engine %.2f x mean\n", report.Reuse, report.ChatSkew)
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Report, text, 0o600)
}

type compareCommand struct {
	Page string `long:"page" default:"compare.html" description:"where the page goes"`
	Args struct {
		Before string `positional-arg-name:"BEFORE"`
		After  string `positional-arg-name:"AFTER"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes a page with two measurements side by side.
func (c *compareCommand) Execute([]string) error {
	var runs []soak.Named
	for _, file := range []string{c.Args.Before, c.Args.After} {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var r soak.LoadReport
		if err := json.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("%s holds no measurement: %w", file, err)
		}
		runs = append(runs, soak.Named{Name: file, Report: &r})
	}
	f, err := os.Create(c.Page)
	if err != nil {
		return err
	}
	if err := soak.Compare(f, runs...); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
