// Package soak implements `lovagectl soak`: it injects random faults into real
// processes on this machine.
package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/soak"
)

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("soak", "Play random faults against real processes and check the promises.")
	var o soak.Options
	cmd.Flag("seed", "First seed.").Default("1").Uint64Var(&o.Seed)
	seeds := cmd.Flag("seeds", "How many seeds, one after another.").Default("1").Int()
	cmd.Flag("for", "How long faults are played, each seed.").Default("10s").DurationVar(&o.FaultDuration)
	cmd.Flag("entries", "Entry processes.").Default("3").IntVar(&o.Entries)
	cmd.Flag("engines", "Engine processes at the start.").Default("4").IntVar(&o.Engines)
	cmd.Flag("callers", "Callers, each with connections of its own.").Default("24").IntVar(&o.Callers)
	cmd.Flag("series", "Stop entries in series that overlap, instead of single faults of every kind on them.").BoolVar(&o.Series)
	cmd.Flag("fragile", "Send a request that crashes the engines that run it, to engines of which one names a limit.").BoolVar(&o.Fragile)
	cmd.Flag("cold", "In fragile runs, send requests that crash engines from the first moment on.").BoolVar(&o.Cold)
	cmd.Flag("cuts", "Cut entries off from all engines in turn.").BoolVar(&o.Cuts)
	cmd.Flag("skew", "Give entries a bounded share of a core, and most new connections to one after the other.").BoolVar(&o.Skew)
	cmd.Flag("restores", "Take the store away again and again, and bring it back from a copy some seconds old.").BoolVar(&o.Restores)
	cmd.Flag("alone", "With --restores, play no other faults, and check that requests are served as at other times.").BoolVar(&o.Alone)
	cmd.Flag("surge", "Let one customer send six times its usual demand, again and again.").BoolVar(&o.Surge)
	cmd.Flag("unequal", "Run engines of unequal speed that report it.").BoolVar(&o.Unequal)
	cmd.Flag("slow-readers", "Let some callers read slowly.").BoolVar(&o.SlowReaders)
	cmd.Flag("endless", "Let engines answer some requests with bytes without end.").BoolVar(&o.Endless)
	cmd.Flag("misbehaving", "Let clients send heads of very many lines, bodies that never come and the like to all entries.").BoolVar(&o.Misbehaving)
	cmd.Flag("ignore-evacuations", "Do not check what reaches evacuated failure domains and cold engines, for builds that know of neither.").BoolVar(&o.IgnoreEvacuations)
	cmd.Flag("ignore-notices", "Do not check what entries send after an engine said that it leaves or rests, for builds that do not read that.").BoolVar(&o.IgnoreNotices)
	cmd.Flag("edge", "The lovageweir program; default: beside this one.").StringVar(&o.EdgePath)
	logs := cmd.Flag("logs", "Where logs of seeds that failed are kept.").Default(os.TempDir()).String()
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, *seeds, *logs) })
}

func run(o soak.Options, seeds int, logs string) error {
	self, err := os.Executable()
	if err != nil {
		return trace.Wrap(err)
	}
	o.CtlPath = self
	if o.EdgePath == "" {
		o.EdgePath = filepath.Join(filepath.Dir(self), "lovageweir")
	}
	failed := 0
	for range seeds {
		if err := runSeed(o, logs, &failed); err != nil {
			return err
		}
		o.Seed++
	}
	if failed > 0 {
		return trace.Errorf("%d of %d seeds failed", failed, seeds)
	}
	return nil
}

func runSeed(o soak.Options, logs string, failed *int) error {
	dir, err := os.MkdirTemp(logs, fmt.Sprintf("soak-%d-", o.Seed))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	o.Dir = dir
	started := time.Now()
	r, err := soak.Run(o)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Printf("seed %d: %d requests, %d faults, %d planned stops, %d engines crashed, %v served at entries that were cut off and %v at others, %v while connections were skewed and %v else, %d restores, in the new era after %v, %v served around them and %v else, %v of others served while a customer surged and %v else, %d MB used at most, %d findings, %v\n", r.Seed, r.Requests, len(r.Faults), r.Stops, r.Crashes, r.Cut, r.Others, r.Skewed, r.Even, r.Restores, r.EraTime.Round(time.Millisecond), r.Restored, r.Unrestored, r.Surged, r.Calm, r.PeakMB, len(r.Findings), time.Since(started).Round(time.Second))
	if finding := r.UnreadFinding(); finding != "" {
		r.Findings = append(r.Findings, finding)
	}
	if !r.Failed() {
		return trace.ConvertSystemError(os.RemoveAll(dir))
	}
	*failed++
	for _, f := range r.Findings {
		fmt.Println("  finding:", f)
	}
	for _, f := range r.Faults {
		fmt.Println("  fault:", f)
	}
	fmt.Println("  logs:", dir)
	return nil
}
