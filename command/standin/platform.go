package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jonboulle/clockwork"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/platform"
	"github.com/lovageweir/lovageweir/platform/platformtest"
	"github.com/lovageweir/lovageweir/retry"
)

func registerPlatform(parent *kingpin.CmdClause) {
	registerPlatformStore(parent)
	registerPlatformEngine(parent)
}

func registerPlatformStore(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "platform-store", "The users' platform's store.")
	endpoints := cmd.Flag("endpoints", "Registrations of endpoints to begin with, none of which answers.").Default("0").Int()
	domains := cmd.Flag("domains", "Failure domains that these are in.").Default("4").Int()
	customers := cmd.Flag("customers", "Customers of a configuration to begin with; 0: none.").Default("0").Int()
	cmd.Action(func(*kingpin.ParseContext) error {
		store := memkv.New(clockwork.NewRealClock())
		if err := populate(store, *endpoints, *domains, *customers); err != nil {
			return err
		}
		served := platformtest.NewStore(store)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go served.KeepBackups(ctx)
		mux := http.NewServeMux()
		mux.Handle("/", served)
		mux.HandleFunc("POST "+RestorePath, served.RestoreHandler)
		return run("platform-store", *address, mux)
	})
}

// RestorePath is where the store stand-in takes requests to come back from a copy.
const RestorePath = "/standin/restore"

// populate fills a store for measurements at a given size.
func populate(store *memkv.Store, endpoints, domains, customers int) error {
	ctx := context.Background()
	for i := range endpoints {
		e := platformtest.NewEngine(platformtest.EngineConfig{ID: fmt.Sprintf("i-%06d", i), Service: fmt.Sprintf("svc-%d", i%synthServices),
			Address: fmt.Sprintf("127.1.%d.%d:9", i/250, i%250+1), Domain: fmt.Sprintf("d%d", i%domains), Version: "v1"})
		key, value := e.Registration(false)
		if _, err := store.Put(ctx, key, value, 0); err != nil {
			return err
		}
	}
	if customers == 0 {
		return nil
	}
	_, err := store.Put(ctx, "op/config", platformtest.EncodeConfig(synthConfig(customers)), 0)
	return err
}

// synthServices is the number of services in a populated store: the models and versions
// at the size expected in two years.
const synthServices = 17

func synthConfig(customers int) *fleet.Config {
	c := &fleet.Config{Version: 1, Services: map[string]fleet.Service{}, Limits: fleet.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20}}
	for i := range synthServices {
		name := fmt.Sprintf("svc-%d", i)
		c.Services[name] = fleet.Service{Name: name, MaxConnections: 370}
		c.Routes = append(c.Routes, fleet.Route{Name: "r-" + name, Host: "h.example", Prefix: "/" + name + "/", Kind: fleet.Streaming, Timeout: 20 * time.Second,
			Objective: time.Second, MaxGap: time.Second, MaxAttempts: 3, Resumable: true, Targets: []fleet.Target{{Service: name, Weight: 1}}})
	}
	for i := range customers {
		c.Customers = append(c.Customers, fleet.Customer{Name: fmt.Sprintf("customer-%d", i), Keys: []string{fmt.Sprintf("key-a-%012d", i*7919), fmt.Sprintf("key-b-%012d", i*104729)}})
	}
	return c
}

// Registration of an engine stand-in in the store.
const (
	registrationTTL      = 3 * time.Second
	registrationInterval = time.Second
	leavingCheckInterval = 200 * time.Millisecond
)

// crashExitCode is the exit code of an engine that crashes.
const crashExitCode = 3

type platformEngine struct {
	config    platformtest.EngineConfig
	advertise string
	store     string
	faults    float64
	endless   float64 // share of requests that are answered without end
	slowdown  int     // how long work takes, in percent of the usual; 0: it does not report that
	crashOn   string  // body of a request that ends the process; "": none
	crashPart string  // id of a prompt part that ends the process; "": none
	crashFrom int64   // from when both do, in Unix milliseconds
	limit     float64 // requests a second that it reports as its limit; 0: none
	// coldFor is how long it says that it is cold after its start.
	coldFor time.Duration
	// announceDelay is how long it serves after a planned stop began before it tells the store; its
	// answers say at once that it leaves.
	announceDelay time.Duration
	// drainTime is how long it keeps serving after it has announced that it leaves.
	drainTime time.Duration
}

func registerPlatformEngine(parent *kingpin.CmdClause) {
	cmd, address := subcommand(parent, "platform-engine", "An engine of the users' platform; it prints a line for each run.")
	e := &platformEngine{}
	cmd.Flag("id", "Its incarnation.").Required().StringVar(&e.config.ID)
	cmd.Flag("advertise", "Where it is reached, if not where it listens.").StringVar(&e.advertise)
	cmd.Flag("store", "The platform's store, host:port.").Required().StringVar(&e.store)
	cmd.Flag("service", "Service.").Required().StringVar(&e.config.Service)
	cmd.Flag("domain", "Failure domain.").Required().StringVar(&e.config.Domain)
	// Not "version": given a flag of that name, kingpin leaves all defaults unset.
	cmd.Flag("software", "Version of its software.").Default("v1").StringVar(&e.config.Version)
	cmd.Flag("work", "Time of a plain answer.").Default("5ms").DurationVar(&e.config.Work)
	cmd.Flag("events", "Events of a stream.").Default("20").IntVar(&e.config.Events)
	cmd.Flag("pause", "Pause between events.").Default("20ms").DurationVar(&e.config.Pause)
	cmd.Flag("faults", "Share of requests that meet a fault.").Default("0").Float64Var(&e.faults)
	cmd.Flag("endless", "Share of requests that it answers with bytes without end.").Default("0").Float64Var(&e.endless)
	cmd.Flag("slowdown", "How long its work takes, in percent of the usual, which it reports; 2.5 times as long for 15% of the time. 0: it reports nothing.").Default("0").IntVar(&e.slowdown)
	cmd.Flag("slots", "Slots; with --capacity, how many requests run at a time.").Default("8").IntVar(&e.config.Slots)
	cmd.Flag("capacity", "Requests that it holds, running or waiting; 0: any number, all of them running.").Default("0").IntVar(&e.config.Capacity)
	cmd.Flag("event-bytes", "Bytes added to each event of a stream.").Default("0").IntVar(&e.config.EventBytes)
	cmd.Flag("padded-ids", "Only streams of requests whose ids begin with this get them.").StringVar(&e.config.PaddedIDs)
	cmd.Flag("cut-slow", "How long a caller may hold up a stream by not reading; 0: for any time.").Default("0s").DurationVar(&e.config.CutSlowAfter)
	cmd.Flag("crash-on", "Body of a request that ends the process; none: no request does.").StringVar(&e.crashOn)
	cmd.Flag("crash-on-part", "Prompt part, but not the last, that ends the process; none: no part does.").StringVar(&e.crashPart)
	cmd.Flag("crash-from", "From when on they do, in Unix milliseconds.").Default("0").Int64Var(&e.crashFrom)
	cmd.Flag("crash-before-head", "They do so before the head of the answer.").BoolVar(&e.config.CrashBeforeHead)
	cmd.Flag("crash-delay", "How long after the head they do so, while the answer goes on.").Default("0s").DurationVar(&e.config.CrashDelay)
	cmd.Flag("limit", "Requests a second that it names in its answers; 0: none.").Default("0").Float64Var(&e.limit)
	cmd.Flag("retry-after", "Retry-After of its refusals, in seconds; none: none.").StringVar(&e.config.RetryAfter)
	cmd.Flag("cold", "How long it says that it is cold after its start.").Default("0s").DurationVar(&e.coldFor)
	cmd.Flag("announces-after", "How long after a planned stop began it tells the store that it leaves.").Default("0s").DurationVar(&e.announceDelay)
	cmd.Flag("serves-on", "How long it serves after that.").Default("2500ms").DurationVar(&e.drainTime)
	cmd.Action(func(*kingpin.ParseContext) error { return e.run(*address) })
}

func (e *platformEngine) run(address string) error {
	e.config.Address = address
	if e.advertise != "" {
		e.config.Address = e.advertise
	}
	e.config.Confidence = confidence
	if e.slowdown > 0 {
		e.config.Slowdown = e.slowdownNow
	}
	if e.crashOn != "" {
		e.config.CrashOn = func(body []byte) bool { return string(body) == e.crashOn && e.crashesNow() }
	}
	if e.crashPart != "" {
		e.config.CrashOnPart = func(id string) bool { return id == e.crashPart && e.crashesNow() }
	}
	engine := platformtest.NewEngine(e.config)
	engine.SetLimit(e.limit)
	engine.OnCrash = func() { os.Exit(crashExitCode) }
	engine.FaultOf = e.faultOf
	engine.OnRun = printRun
	engine.OnRefuse = e.printRefusal
	srv, err := listen(address, engine)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	warmAt := time.Now().Add(e.coldFor)
	if e.coldFor > 0 {
		printLine(EngineLine{Engine: e.config.ID, ColdUntilMS: warmAt.UnixMilli()})
	}
	go e.register(ctx, warmAt)
	waitForSignal()
	engine.SetLeaving(true)
	time.Sleep(e.announceDelay)
	cancel()
	drained, stopAnnouncing := context.WithTimeout(context.Background(), e.drainTime)
	defer stopAnnouncing()
	e.announceLeaving(drained, engine)
	return srv.Close()
}

func (e *platformEngine) crashesNow() bool { return time.Now().UnixMilli() >= e.crashFrom }

// confidence returns a score from 0 to 100 that depends only on the request id and the
// model, so that a good part of the smaller model's answers are in doubt.
func confidence(id, model string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id + model))
	return int(h.Sum32() % 101)
}

// faultOf returns a random fault for the configured share of requests.
func (e *platformEngine) faultOf(*http.Request) platformtest.Fault {
	if rand.Float64() < e.endless {
		return endlessFaults[rand.IntN(len(endlessFaults))]
	}
	if rand.Float64() >= e.faults {
		return platformtest.NoFault
	}
	all := []platformtest.Fault{platformtest.Refuse, platformtest.Fail, platformtest.ResetBefore, platformtest.ResetMiddle, platformtest.Garbage,
		platformtest.Unsealed, platformtest.OtherID, platformtest.Extra, platformtest.Hang}
	return all[rand.IntN(len(all))]
}

// endlessFaults leave out comments, which callers get before the answer is cut off.
var endlessFaults = slices.DeleteFunc(slices.Clone(platformtest.Endless), func(f platformtest.Fault) bool { return f == platformtest.EndlessComments })

// An engine that shares its machine is slow for slowPeriod of every slowEvery, slowFactor times as slow.
const (
	slowEvery  = 4 * time.Second
	slowPeriod = 600 * time.Millisecond
	slowFactor = 2.5
)

// slowdownNow returns how long work takes now, in percent of the usual. Engines are slow at different times.
func (e *platformEngine) slowdownNow() int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.config.ID))
	if time.Duration(time.Now().UnixNano()+int64(h.Sum32()))%slowEvery < slowPeriod {
		return int(slowFactor * float64(e.slowdown))
	}
	return e.slowdown
}

// register keeps the engine registered in the store under a lease until ctx ends.
func (e *platformEngine) register(ctx context.Context, warmAt time.Time) {
	store := platform.NewStore(e.store)
	for ctx.Err() == nil {
		if lease, err := store.Grant(ctx, registrationTTL); err == nil {
			if err = e.putRegistration(ctx, store, lease, warmAt); err == nil {
				e.renewLease(ctx, store, lease, warmAt)
			}
		}
		sleep(ctx, registrationInterval)
	}
}

func (e *platformEngine) putRegistration(ctx context.Context, store *platform.Store, lease kv.LeaseID, warmAt time.Time) error {
	c := e.config
	c.Cold = max(0, time.Until(warmAt))
	key, value := platformtest.NewEngine(c).Registration(false)
	_, err := store.Put(ctx, key, value, lease)
	return err
}

// renewLease renews the lease, and the registration while the engine is cold, until the store does
// not confirm that.
func (e *platformEngine) renewLease(ctx context.Context, store *platform.Store, lease kv.LeaseID, warmAt time.Time) {
	era := store.Era()
	for cold := time.Now().Before(warmAt); ctx.Err() == nil; {
		sleep(ctx, registrationInterval)
		if cold {
			cold = time.Now().Before(warmAt)
			if err := e.putRegistration(ctx, store, lease, warmAt); err != nil {
				return
			}
		}
		if _, err := store.KeepAlive(ctx, lease); err != nil || store.Era() != era {
			return // register registers it again
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// announceLeaving announces that the engine leaves, again if the store loses that, until ctx ends. It
// prints a line each time that the store has accepted it.
func (e *platformEngine) announceLeaving(ctx context.Context, engine *platformtest.Engine) {
	store := platform.NewStore(e.store)
	for ctx.Err() == nil {
		lease, ok := e.putLeaving(ctx, engine, store)
		for era := store.Era(); ok && ctx.Err() == nil && store.Era() == era; {
			sleep(ctx, leavingCheckInterval)
			_, err := store.KeepAlive(ctx, lease)
			ok = !errors.Is(err, kv.ErrLeaseNotFound)
		}
		sleep(ctx, leavingCheckInterval)
	}
}

func (e *platformEngine) putLeaving(ctx context.Context, engine *platformtest.Engine, store *platform.Store) (lease kv.LeaseID, ok bool) {
	key, value := engine.Registration(true)
	lease, err := store.Grant(ctx, registrationTTL)
	if err != nil {
		return 0, false
	}
	if _, err := store.Put(ctx, key, value, lease); err != nil {
		return 0, false
	}
	printLine(EngineLine{Engine: e.config.ID, LeftMS: time.Now().UnixMilli()})
	return lease, true
}

// EngineLine is a line that an engine prints: that it starts cold, that a run started, or that
// the store accepted that the engine leaves.
type EngineLine struct {
	Engine string `json:"engine"`
	ID     string `json:"id,omitempty"`    // request that runs
	AtMS   int64  `json:"at_ms,omitempty"` // start of the run, Unix time
	Fault  string `json:"fault,omitempty"` // what the engine does instead of a normal answer
	// Leaving: the answer says that the engine leaves.
	Leaving bool `json:"leaving,omitempty"`
	// RestMS is how long the engine asks for a rest; the request, which it refuses, does not run.
	RestMS int64 `json:"rest_ms,omitempty"`
	LeftMS int64 `json:"left_ms,omitempty"` // time of leaving, Unix time
	// ColdUntilMS is until when the engine is cold from its start on, Unix time.
	ColdUntilMS int64 `json:"cold_until_ms,omitempty"`
}

// printRun prints a run when it starts, before its response, so that no run is lost
// if the process ends.
func printRun(run platformtest.Run) {
	printLine(EngineLine{Engine: run.Engine, ID: run.ID, AtMS: run.At.UnixMilli(), Fault: string(run.Fault), Leaving: run.Leaving})
}

// printRefusal prints a request that is refused with a rest.
func (e *platformEngine) printRefusal(id string) {
	if rest := retry.ParseAfter(e.config.RetryAfter); rest > 0 {
		printLine(EngineLine{Engine: e.config.ID, ID: id, AtMS: time.Now().UnixMilli(), RestMS: rest.Milliseconds()})
	}
}

func printLine(p EngineLine) {
	line, err := json.Marshal(p)
	if err == nil {
		fmt.Fprintln(os.Stdout, string(line))
	}
}
