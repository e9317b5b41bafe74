// This file runs the daemon with the front end that routes by host and path.

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"hingewinch.org/hingewinch/daemon/routes"
	"hingewinch.org/hingewinch/platform"
)

func runRoutes(file string, check bool) int {
	// A SIGHUP that comes before the daemon serves must not end it.
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	settings, err := routes.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if check {
		return 0
	}
	d, err := routes.New(settings, newPlatform(settings), os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go checkSettingsOnSIGHUP(ctx, sighup, d, file, settings)
	if err := d.Run(ctx); err != nil {
		return exitFailed
	}
	return 0
}

// newPlatform returns the implementation of the users' platform that the daemon uses.
func newPlatform(s *routes.Settings) routes.Platform {
	return routes.Platform{
		Store: platform.NewStore(s.Store), HistoryGone: platform.ErrHistoryGone,
		Documents: platform.NewDocuments(), Codec: platform.Codec{}, ReadyPath: platform.PathReady,
		Front: func(d *routes.Daemon) http.Handler {
			return &platform.Front{
				View: d.ViewForCaller, Relay: d.Relay, Stopping: d.Stopping, Denied: d.Log.Denied, Panicked: d.Log.Panicked,
				Bodies: d.Bodies, Refused: d.Log.Refused,
			}
		},
	}
}

// checkSettingsOnSIGHUP loads the settings file on each SIGHUP and logs whether it is valid and has changed.
// Addresses and identity can't change while requests are served, so changed settings
// take effect only at the next start.
func checkSettingsOnSIGHUP(ctx context.Context, sighup <-chan os.Signal, d *routes.Daemon, file string, running *routes.Settings) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			s, err := routes.LoadSettings(file)
			d.Log.Reloaded(err == nil && !reflect.DeepEqual(s, running), err)
		}
	}
}
