// Command hingestandin runs, for the demo, fakes of the systems that hingewinch
// interacts with, and a load generator. It is not part of the product.
//
// # Usage
//
//	hingestandin ports 5
//	hingestandin platform --listen A --config FILE --members FILE
//	hingestandin engine   --listen A --id e1
//	hingestandin service  --listen A
//	hingestandin load     --gateway URL ... --key KEY --chats 100 --services URL ...
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
)

type options struct {
	Ports    portsCommand    `command:"ports" description:"print free ports"`
	Platform platformCommand `command:"platform" description:"run a fake platform that publishes two files and reloads them when they change"`
	Engine   engineCommand   `command:"engine" description:"run a fake model engine"`
	Service  serviceCommand  `command:"service" description:"run a fake plain service"`
	Load     loadCommand     `command:"load" description:"generate load and check the responses"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1)
	}
}

type portsCommand struct {
	Args struct {
		N int `positional-arg-name:"N"`
	} `positional-args:"yes" required:"yes"`
}

// Execute keeps all ports open until all are found, so that none is printed twice.
func (c *portsCommand) Execute([]string) error {
	for range c.Args.N {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

type listenOptions struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on"`
}

func (o *listenOptions) serve(h http.Handler) error {
	return http.ListenAndServe(o.Listen, h)
}

type platformCommand struct {
	listenOptions
	Config  string `long:"config" required:"yes"`
	Members string `long:"members" required:"yes"`
}

// pollInterval is how often the published files are checked for changes.
const pollInterval = 100 * time.Millisecond

// Execute serves a fake platform that publishes the files.
func (c *platformCommand) Execute([]string) error {
	p := standin.NewPlatform()
	go publishChanges(c.Config, func(text []byte) { p.Publish(protocol.PathConfig, text) })
	go publishChanges(c.Members, func(text []byte) { p.Publish(protocol.PathMembers, text) })
	return c.serve(p)
}

// publishChanges publishes a file whenever its modification time changes. It ignores an empty file,
// which may still be in the process of being written.
func publishChanges(file string, publish func([]byte)) {
	var published time.Time
	for ; ; time.Sleep(pollInterval) {
		info, err := os.Stat(file)
		if err != nil || info.ModTime().Equal(published) {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil || len(text) == 0 {
			continue
		}
		published = info.ModTime()
		publish(text)
	}
}

type engineCommand struct {
	listenOptions
	ID        string        `long:"id" required:"yes"`
	TokenTime time.Duration `long:"token-time" default:"5ms"`
	Words     int           `long:"words" default:"12"`
	ReportLag time.Duration `long:"report-lag" default:"500ms"`
}

// Execute serves a fake engine.
func (c *engineCommand) Execute([]string) error {
	return c.serve(standin.NewEngine(standin.EngineOptions{
		ID: c.ID, TokenInterval: c.TokenTime, CompletionWords: c.Words, ReportLag: c.ReportLag,
		Incarnation: 1, PrefillTime: time.Millisecond,
	}))
}

type serviceCommand struct{ listenOptions }

// Execute serves a fake service.
func (c *serviceCommand) Execute([]string) error { return c.serve(standin.NewService()) }
