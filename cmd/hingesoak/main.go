// Command hingesoak is a soak test. It runs real daemons as processes on this
// machine, injects faults generated from a seed, and checks the guarantees of
// docs/PROMISES.md while they run. It is not part of the product.
//
// # Usage
//
//	go build -o target/ ./cmd/hingewinchd
//	hingesoak --daemon target/hingewinchd --runs 4 --at-once 2
//	hingesoak --daemon target/hingewinchd --seed 17 --keep
//	hingesoak --daemon target/hingewinchd --steady --daemons 87 --seed 1
//	hingesoak --daemon target/hingewinchd --seeds internal/soak/testdata/seeds.txt
//
// It exits with 1 if a guarantee was violated or a run could not be completed. The directory
// of a run with violations is kept, with its report, its faults and the daemons' logs.
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
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Daemon            string        `long:"daemon" default:"target/hingewinchd" description:"path of the daemon's executable"`
	Previous          string        `long:"previous" description:"executable of the previous build; daemons are upgraded from it, and downgraded again, during the run"`
	Seed              []uint64      `long:"seed" description:"run this seed; may be repeated"`
	Seeds             string        `long:"seeds" description:"run the seeds of a file: one per line, followed by the reason why it is listed"`
	Runs              int           `long:"runs" default:"1" description:"number of random seeds to run if none is given"`
	AtOnce            int           `long:"at-once" default:"1" description:"maximum number of concurrent runs"`
	Trouble           time.Duration `long:"trouble" default:"18s" description:"period in which faults start"`
	Quiet             time.Duration `long:"quiet" default:"9s" description:"period after the last fault"`
	Daemons           int           `long:"daemons" default:"10" description:"maximum number of daemons in a run"`
	FaultRate         float64       `long:"faults" default:"1.2" description:"faults per second"`
	Evacuations       float64       `long:"evacuations" default:"0.15" description:"failure domain evacuations per second; with 0, replicas are never cold either; use 0 for seeds recorded before this option existed"`
	Crashing          int           `long:"crashing" default:"1" description:"number of requests that crash the replicas that run them; use 0 for seeds recorded before this option existed"`
	CrashingParts     int           `long:"crashing-parts" default:"0" description:"number of prompt parts that crash the replicas that begin to respond on them"`
	Foreign           float64       `long:"foreign" default:"0.15" description:"writes per second by a foreign writer among the replicas' entries; use 0 for seeds recorded before this option existed"`
	OddEntries        float64       `long:"odd-entries" default:"0" description:"writes per second of odd entries by a foreign writer: numbers, nesting, ports and keys that can't be, and JSON in place of Base64; 0.2 is a good rate"`
	Backoffs          float64       `long:"rests" default:"0.3" description:"times per second that replicas refuse all requests and request a backoff; use 0 for seeds recorded before this option existed"`
	Departures        float64       `long:"leavings" default:"0.15" description:"times per second that a replica departs and announces it only in its responses; use 0 for seeds recorded before this option existed"`
	FalseTerminations float64       `long:"false-ends" default:"0.1" description:"false reports per second to daemons that a live replica has terminated; use 0 for seeds recorded before this option existed"`
	Restores          float64       `long:"restores" default:"0.1" description:"times per second that the store is restored from a backup; use 0 for seeds recorded before this option existed"`
	Partitions        float64       `long:"partitions" default:"0" description:"times per second that daemons lose their links to all replicas; 0.1 is a good rate"`
	Crowded           bool          `long:"crowded" description:"add a plain service of few slots that callers ask for more than it can serve"`
	Brittle           bool          `long:"brittle" description:"with --crowded: the replicas of the crowded service are brittle at times; it may have a model, and up to 40 replicas"`
	Versions          bool          `long:"versions" description:"run several software versions of the replicas side by side, with rollouts, and callers that resume their streams"`
	OutOfStep         bool          `long:"out-of-step" description:"let a second software version of the replicas be released while a daemon or a failure domain is cut off or paused, and streams of the other daemons break off"`
	Silences          float64       `long:"silences" default:"0" description:"times per second that a sound replica falls silent for a moment"`
	Unframed          bool          `long:"unframed" description:"let one in six responses of the replicas, streams too, end with their connections, with neither a length nor chunks"`
	Uploads           bool          `long:"uploads" description:"let half of the requests have bodies of 24 or 140 KB, on a route of one attempt whose streams can't be resumed; replicas respond before they have read them, and read them slowly through small buffers"`
	UploadResets      float64       `long:"upload-resets" default:"1" description:"with --uploads: times per second that links or replicas reset connections of up to three replicas"`
	OrderlyEnds       float64       `long:"orderly-ends" default:"0.3" description:"with --uploads: times per second that a replica terminates and the system ends its connections in an ordinary way"`
	CarrierKills      float64       `long:"carrier-kills" default:"0.3" description:"with --uploads: daemons killed per second, while others have lost their links to all replicas in overlapping periods; with 0, no links are lost for it"`
	Steady            bool          `long:"steady" description:"inject no faults into daemons, replicas and the store; run exactly --daemons daemons with prompts that become hot"`
	Dir               string        `long:"dir" description:"directory of the runs (default: a temporary directory)"`
	Keep              bool          `long:"keep" description:"also keep the directories of runs without violations"`
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
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
	return o.runAll(ctx, seeds)
}

// seeds returns the seeds given on the command line, or random ones if there are none.
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

// readSeeds reads a seed file. Each line has a seed and the reason why it is listed; # begins a comment.
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
			return nil, fmt.Errorf("%s: %q is not a seed; write a number, followed by the reason", file, word)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// runAll runs the seeds, up to AtOnce of them at a time, and returns the exit code.
func (o *options) runAll(ctx context.Context, seeds []uint64) int {
	queue := make(chan uint64)
	var (
		wg         sync.WaitGroup
		mu         sync.Mutex
		violated   []uint64
		incomplete int
	)
	for range max(1, o.AtOnce) {
		wg.Go(func() {
			for seed := range queue {
				report, err := o.runSeed(ctx, seed)
				mu.Lock()
				switch {
				case err != nil:
					incomplete++
					fmt.Printf("seed %d: run not completed: %v\n", seed, err)
				case len(report.Violations) > 0:
					violated = append(violated, seed)
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
	fmt.Printf("%d seeds, %d with violations, %d not completed\n", len(seeds), len(violated), incomplete)
	if len(violated) > 0 || incomplete > 0 {
		fmt.Println("seeds with violations:", violated, "kept in", o.Dir)
		return exitFailed
	}
	return 0
}

// runSeed runs one seed and prints a summary, followed by the first violations, one per line.
func (o *options) runSeed(ctx context.Context, seed uint64) (*soak.Report, error) {
	shape := soak.DefaultShape()
	shape.Trouble, shape.Quiet, shape.MaxDaemons, shape.FaultsPerSec = o.Trouble, o.Quiet, o.Daemons, o.FaultRate
	shape.EvacuationsPerSec, shape.Crashing, shape.ForeignPerSec = o.Evacuations, o.Crashing, o.Foreign
	shape.BackoffsPerSec, shape.DeparturesPerSec = o.Backoffs, o.Departures
	shape.FalseCrashesPerSec, shape.RestoresPerSec, shape.Upgrades = o.FalseTerminations, o.Restores, o.Previous != ""
	shape.CrashingParts = o.CrashingParts
	shape.SilencesPerSec = o.Silences
	shape.Crowded, shape.PartitionsPerSec, shape.Versions, shape.Unframed = o.Crowded, o.Partitions, o.Versions, o.Unframed
	shape.Brittle, shape.OutOfStep = o.Brittle, o.OutOfStep
	shape.OddEntriesPerSec = o.OddEntries
	if o.Uploads {
		shape.Uploads = &soak.Uploads{ResetsPerSec: o.UploadResets, EndsPerSec: o.OrderlyEnds, CarrierKillsPerSec: o.CarrierKills}
	}
	plan := soak.NewPlan(seed, shape)
	if o.Steady {
		plan = soak.NewSteadyPlan(seed, o.Daemons, shape)
	}
	dir := filepath.Join(o.Dir, strconv.FormatUint(seed, 10))
	report, err := soak.Play(ctx, plan, soak.Options{Daemon: o.Daemon, Previous: o.Previous, Dir: dir})
	if err != nil {
		return nil, err
	}
	fmt.Printf("seed %d: %d daemons, %d faults, %d requests, %.3f served, %.3f at the end, %.3f at overloaded replicas, %d replicas crashed by requests, %d backoffs, %d departures announced in responses, %d violations\n",
		seed, plan.Daemons, len(plan.Faults), report.Requests, report.Share, report.QuietShare, report.OverloadShare, report.Crashed, report.Backoffs, report.Departures, len(report.Violations))
	fmt.Printf("  %d MB resident at most; responses broken off: %v\n", report.MaxMemoryMB, report.BrokenOff)
	if n := report.BorderEnds; n.Complete+n.BrokenOff > 0 {
		fmt.Printf("  streams that ended after a whole event as their replica terminated: %d complete, %d broken off\n", n.Complete, n.BrokenOff)
	}
	if n := report.Stalls; n.Count > 0 {
		fmt.Printf("  processes stood still without a fault %d times, for %v at most\n", n.Count, n.Longest.Round(time.Millisecond))
	}
	if report.HeldForParts > 0 {
		fmt.Printf("  %d ordinary requests were refused for a part of their prompts\n", report.HeldForParts)
	}
	if n := report.Streams; n.Begun > 0 {
		fmt.Printf("  %d of %d long streams began, %d of them hold events of several versions; %d of %d resumes by callers went on, %d were sent in the first second of a release, %d of these to daemons out of step\n", n.Begun, n.Sent, n.Mixed, n.Resumed, n.Resumes, n.AtRelease, n.OutOfStep)
	}
	for _, v := range report.Mixed {
		fmt.Printf("  mixed: %s %s: %s\n", v.At.UTC().Format("15:04:05.000"), v.Subject, v.Detail)
	}
	for _, b := range report.Brittle {
		fmt.Printf("  brittle, limit %d, queue %d: %d of %d falls counted, %d allowed; %d rejected; %.3f of %d calls served (room %.3f), %.3f in the warning\n",
			b.Spell.Limit, b.Spell.Queue, b.Counted, b.Falls, b.Allowed, b.Rejected, b.Share, b.Calls, b.Room, b.Warning)
	}
	for _, v := range report.Excused {
		fmt.Printf("  not judged: %s %s %s: %s\n", v.At.UTC().Format("15:04:05.000"), v.Promise, v.Subject, v.Detail)
	}
	for i, v := range report.Violations {
		const maxShown = 12
		if i == maxShown {
			fmt.Printf("  and %d more in %s\n", len(report.Violations)-maxShown, dir)
			break
		}
		fmt.Printf("  %s %s %s: %s\n", v.At.UTC().Format("15:04:05.000"), v.Promise, v.Subject, v.Detail)
	}
	if len(report.Violations) == 0 && !o.Keep {
		_ = os.RemoveAll(dir)
	}
	return report, nil
}
