// Command hingesoak runs real daemons as processes on this machine, injects
// faults drawn from a seed, and checks the promises of docs/PROMISES.md
// while they run. It is no part of the product.
//
// # Usage
//
//	go build -o target/ ./cmd/hingewinchd
//	hingesoak --daemon target/hingewinchd --runs 4 --at-once 2
//	hingesoak --daemon target/hingewinchd --seed 17 --keep
//	hingesoak --daemon target/hingewinchd --steady --daemons 87 --seed 1
//	hingesoak --daemon target/hingewinchd --seeds internal/soak/testdata/seeds.txt
//
// It ends with 1 if a promise was broken; the directory of that run is kept, with
// its report, its faults and the daemons' logs.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"hingewinch.org/hingewinch/internal/soak"
)

// Exit codes.
const (
	exitBroken = 1
	exitUsage  = 2
)

type options struct {
	Daemon   string        `long:"daemon" default:"target/hingewinchd" description:"program of the daemon"`
	Previous string        `long:"previous" description:"program of the last build; daemons are upgraded from it, and back, while the run goes on"`
	Seed     []uint64      `long:"seed" description:"play this seed; may be given several times"`
	Seeds    string        `long:"seeds" description:"play the seeds of a file, one a line, each with its cause"`
	Runs     int           `long:"runs" default:"1" description:"how many fresh seeds to play when none is named"`
	AtOnce   int           `long:"at-once" default:"1" description:"how many runs at a time"`
	Trouble  time.Duration `long:"trouble" default:"18s" description:"time in which faults begin"`
	Quiet    time.Duration `long:"quiet" default:"9s" description:"time after the last fault"`
	Daemons  int           `long:"daemons" default:"10" description:"most daemons of a run"`
	Rate     float64       `long:"faults" default:"1.2" description:"faults a second"`
	Evacuate float64       `long:"evacuations" default:"0.15" description:"evacuations of failure domains a second; with 0 replicas are never cold, as for seeds kept from before"`
	Crashing int           `long:"crashing" default:"1" description:"requests that crash the replicas that run them; with 0 there are none, as for seeds kept from before"`
	Foreign  float64       `long:"foreign" default:"0.15" description:"how often another writer writes among the replicas' entries, a second; with 0 never, as for seeds kept from before"`
	Rests    float64       `long:"rests" default:"0.3" description:"how often replicas turn all away and ask for rest, a second; with 0 never, as for seeds kept from before"`
	Leavings float64       `long:"leavings" default:"0.15" description:"how often a replica leaves and says so in its answers only, a second; with 0 never, as for seeds kept from before"`
	Ends     float64       `long:"false-ends" default:"0.1" description:"how often daemons are told of ends of replicas that live, a second; with 0 never, as for seeds kept from before"`
	Restores float64       `long:"restores" default:"0.1" description:"how often the store comes back from a copy of itself, a second; with 0 never, as for seeds kept from before"`
	Steady   bool          `long:"steady" description:"no faults at daemons, replicas and the store; prompts that get hot, before exactly --daemons daemons"`
	Dir      string        `long:"dir" description:"where runs are kept (default: a temporary directory)"`
	Keep     bool          `long:"keep" description:"keep the directories of runs that broke nothing, too"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	seeds, err := o.seeds()
	if err != nil {
		fmt.Fprintln(os.Stderr, "hingesoak:", err)
		return exitUsage
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "hingesoak-"); err != nil {
			fmt.Fprintln(os.Stderr, "hingesoak:", err)
			return exitUsage
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return o.playAll(ctx, seeds)
}

// seeds returns the seeds that are named, or fresh ones.
func (o *options) seeds() ([]uint64, error) {
	seeds := o.Seed
	if o.Seeds != "" {
		listed, err := readSeeds(o.Seeds)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, listed...)
	}
	if len(seeds) == 0 {
		for range o.Runs {
			seeds = append(seeds, uint64(rand.Uint32()))
		}
	}
	return seeds, nil
}

// readSeeds reads lines of a seed and its cause; # begins a comment.
func readSeeds(file string) ([]uint64, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		word, _, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		if word == "" || strings.HasPrefix(word, "#") {
			continue
		}
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %q is no seed; write a number and the cause", file, word)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func (o *options) playAll(ctx context.Context, seeds []uint64) int {
	queue := make(chan uint64)
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		broken []uint64
		failed int
	)
	for range max(1, o.AtOnce) {
		wg.Go(func() {
			for seed := range queue {
				report, err := o.play(ctx, seed)
				mu.Lock()
				switch {
				case err != nil:
					failed++
					fmt.Printf("seed %d: not played: %v\n", seed, err)
				case len(report.Violations) > 0:
					broken = append(broken, seed)
				}
				mu.Unlock()
			}
		})
	}
	for _, seed := range seeds {
		select {
		case queue <- seed:
		case <-ctx.Done():
		}
	}
	close(queue)
	wg.Wait()
	fmt.Printf("%d seeds, %d broke a promise, %d were not played\n", len(seeds), len(broken), failed)
	if len(broken) > 0 || failed > 0 {
		fmt.Println("broken:", broken, "kept in", o.Dir)
		return exitBroken
	}
	return 0
}

// play plays one seed and prints a line on it, and one for each broken promise.
func (o *options) play(ctx context.Context, seed uint64) (*soak.Report, error) {
	shape := soak.DefaultShape()
	shape.Trouble, shape.Quiet, shape.MaxDaemons, shape.FaultsPerSec = o.Trouble, o.Quiet, o.Daemons, o.Rate
	shape.EvacuationsPerSec, shape.Crashing, shape.ForeignPerSec = o.Evacuate, o.Crashing, o.Foreign
	shape.BackoffsPerSec, shape.DeparturesPerSec = o.Rests, o.Leavings
	shape.FalseCrashesPerSec, shape.RestoresPerSec, shape.Upgrades = o.Ends, o.Restores, o.Previous != ""
	plan := soak.NewPlan(seed, shape)
	if o.Steady {
		plan = soak.NewSteadyPlan(seed, o.Daemons, shape)
	}
	dir := filepath.Join(o.Dir, strconv.FormatUint(seed, 10))
	report, err := soak.Play(ctx, plan, soak.Options{Daemon: o.Daemon, Previous: o.Previous, Dir: dir})
	if err != nil {
		return nil, err
	}
	fmt.Printf("seed %d: %d daemons, %d faults, %d requests, %.3f served, %.3f at the end, %.3f at crowded replicas, %d replicas ended by requests, %d rests, %d left by answers, %d violations\n",
		seed, plan.Daemons, len(plan.Faults), report.Requests, report.Share, report.QuietShare, report.OverloadShare, report.Crashed, report.Backoffs, report.Departures, len(report.Violations))
	for i, v := range report.Violations {
		const shown = 12
		if i == shown {
			fmt.Printf("  and %d more in %s\n", len(report.Violations)-shown, dir)
			break
		}
		fmt.Printf("  %s %s %s: %s\n", v.At.UTC().Format("15:04:05.000"), v.Promise, v.Subject, v.Detail)
	}
	if len(report.Violations) == 0 && !o.Keep {
		_ = os.RemoveAll(dir)
	}
	return report, nil
}
