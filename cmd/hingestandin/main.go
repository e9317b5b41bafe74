// Command hingestandin plays, for the demo, the systems that hingewinch meets
// and the callers that use it. It is no part of the product.
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
	Platform platformCommand `command:"platform" description:"publish two files, read again when they change"`
	Engine   engineCommand   `command:"engine" description:"play a model engine"`
	Service  serviceCommand  `command:"service" description:"play a plain service"`
	Load     loadCommand     `command:"load" description:"play callers and check what they get"`
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

// Execute holds all ports until all are found, so that none is given twice.
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

const fileInterval = 100 * time.Millisecond

// Execute publishes the files.
func (c *platformCommand) Execute([]string) error {
	p := standin.NewPlatform()
	go follow(c.Config, func(text []byte) { p.Publish(protocol.PathConfig, text) })
	go follow(c.Members, func(text []byte) { p.Publish(protocol.PathMembers, text) })
	return c.serve(p)
}

// follow publishes a file whenever its time of change does.
func follow(file string, publish func([]byte)) {
	var seen time.Time
	for ; ; time.Sleep(fileInterval) {
		info, err := os.Stat(file)
		if err != nil || info.ModTime().Equal(seen) {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil || len(text) == 0 {
			continue
		}
		seen = info.ModTime()
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

// Execute plays an engine.
func (c *engineCommand) Execute([]string) error {
	return c.serve(standin.NewEngine(standin.EngineOptions{
		ID: c.ID, TokenTime: c.TokenTime, AnswerWords: c.Words, ReportLag: c.ReportLag,
		Incarnation: 1, PrefillTime: time.Millisecond,
	}))
}

type serviceCommand struct{ listenOptions }

// Execute plays a service.
func (c *serviceCommand) Execute([]string) error { return c.serve(standin.NewService()) }
