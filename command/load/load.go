// Package load implements `lovagectl load`: bounded open-loop load against one or
// more entries. Requests start on a fixed schedule whether or not earlier ones have
// been answered, so that a slow entry cannot hide its latency. A run stops after
// --duration or --max requests and prints the outcomes and percentiles, from HDR
// histograms, of the time to first token, between tokens and in total.
package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// Settings of one run.
type Settings struct {
	Entries  []string
	Rate     float64       // requests per second
	Duration time.Duration // how long to start new requests
	Max      int           // at most this many requests
	Mix      []Mix
	Tokens   int
	Stream   bool
}

// Mix is one kind of request and its relative weight.
type Mix struct {
	APIKey string
	Model  string
	Weight int
}

// Report holds the measurements of a run; histograms are in microseconds.
type Report struct {
	Sent          int
	Outcomes      map[string]int
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
	Total         *hdrhistogram.Histogram
}

// maxLatencyMicros is the upper bound of the histograms: one minute.
const maxLatencyMicros = 60_000_000

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("load", "Drive bounded open-loop load and print latency histograms.")
	var s Settings
	cmd.Flag("entry", "Entry base URL (repeat; requests rotate).").Required().StringsVar(&s.Entries)
	cmd.Flag("rate", "Requests per second.").Default("20").Float64Var(&s.Rate)
	cmd.Flag("duration", "How long to send.").Default("10s").DurationVar(&s.Duration)
	cmd.Flag("max", "At most this many requests.").Default("10000").IntVar(&s.Max)
	cmd.Flag("tokens", "max_tokens per request.").Default("16").IntVar(&s.Tokens)
	cmd.Flag("stream", "Stream answers.").Default("true").BoolVar(&s.Stream)
	mix := cmd.Flag("mix", "key:model:weight (repeat).").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error {
		for _, m := range *mix {
			var x Mix
			parts := strings.Split(m, ":")
			if len(parts) != 3 {
				return trace.BadParameter("--mix %q: want key:model:weight", m)
			}
			x.APIKey, x.Model = parts[0], parts[1]
			if _, err := fmt.Sscanf(parts[2], "%d", &x.Weight); err != nil || x.Weight <= 0 {
				return trace.BadParameter("--mix %q: weight must be a positive number", m)
			}
			s.Mix = append(s.Mix, x)
		}
		rep := Run(context.Background(), s)
		rep.Print()
		return nil
	})
}

// Run sends the requests and waits for all of them to finish.
func Run(ctx context.Context, s Settings) *Report {
	rep := &Report{
		Outcomes:      map[string]int{},
		FirstToken:    hdrhistogram.New(1, maxLatencyMicros, 3),
		BetweenTokens: hdrhistogram.New(1, maxLatencyMicros, 3),
		Total:         hdrhistogram.New(1, maxLatencyMicros, 3),
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := &http.Client{Timeout: time.Minute}
	interval := time.Duration(float64(time.Second) / s.Rate)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	deadline := time.Now().Add(s.Duration)
	total := 0
	for _, m := range s.Mix {
		total += m.Weight
	}
	for i := 0; i < s.Max && time.Now().Before(deadline); i++ {
		m := pick(s.Mix, total, i)
		entry := s.Entries[i%len(s.Entries)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := sendRequest(ctx, client, entry, m, s, i)
			mu.Lock()
			defer mu.Unlock()
			rep.add(r)
		}()
		rep.Sent++
		select {
		case <-tick.C:
		case <-ctx.Done():
			i = s.Max
		}
	}
	wg.Wait()
	return rep
}

func pick(mix []Mix, total, i int) Mix {
	// Deterministic rather than random, so that repeated runs send the same requests.
	offset := (i * 7919) % total
	for _, m := range mix {
		if offset < m.Weight {
			return m
		}
		offset -= m.Weight
	}
	return mix[len(mix)-1]
}

type result struct {
	outcome       string
	firstToken    time.Duration
	betweenTokens []time.Duration
	total         time.Duration
}

func (rep *Report) add(r result) {
	rep.Outcomes[r.outcome]++
	if r.outcome != "ok" {
		return
	}
	_ = rep.FirstToken.RecordValue(r.firstToken.Microseconds())
	_ = rep.Total.RecordValue(r.total.Microseconds())
	for _, d := range r.betweenTokens {
		_ = rep.BetweenTokens.RecordValue(d.Microseconds())
	}
}

func sendRequest(ctx context.Context, c *http.Client, entry string, m Mix, s Settings, i int) result {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"load %d"}]}`, m.Model, s.Stream, s.Tokens, i%50)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return result{outcome: "client_error"}
	}
	req.Header.Set("Authorization", "Bearer "+m.APIKey)
	req.Header.Set("X-Session-Id", fmt.Sprintf("load-%d", i%97))
	start := time.Now()
	resp, err := c.Do(req)
	if err != nil {
		return result{outcome: "transport_error"}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return result{outcome: fmt.Sprintf("http_%d", resp.StatusCode)}
	}
	r := result{outcome: "ok"}
	if !s.Stream {
		_, _ = io.Copy(io.Discard, resp.Body)
		r.total = time.Since(start)
		r.firstToken = r.total
		return r
	}
	sc := bufio.NewScanner(resp.Body)
	last := start
	done := false
	for sc.Scan() {
		line := sc.Text()
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		now := time.Now()
		if line == "data: [DONE]" {
			done = true
			break
		}
		if strings.Contains(line, `"error"`) {
			return result{outcome: "stream_error"}
		}
		if r.firstToken == 0 {
			r.firstToken = now.Sub(start)
		} else {
			r.betweenTokens = append(r.betweenTokens, now.Sub(last))
		}
		last = now
	}
	if !done {
		return result{outcome: "stream_cut"}
	}
	r.total = time.Since(start)
	return r
}

// Print writes the report to stdout.
func (rep *Report) Print() {
	fmt.Printf("sent %d\n", rep.Sent)
	keys := make([]string, 0, len(rep.Outcomes))
	for k := range rep.Outcomes {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		fmt.Printf("  outcome %-16s %d\n", k, rep.Outcomes[k])
	}
	for _, h := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", rep.FirstToken}, {"between tokens", rep.BetweenTokens}, {"total", rep.Total}} {
		fmt.Printf("  %-15s p50=%s p95=%s p99=%s max=%s (n=%d)\n", h.name,
			formatMicros(h.h.ValueAtQuantile(50)), formatMicros(h.h.ValueAtQuantile(95)), formatMicros(h.h.ValueAtQuantile(99)), formatMicros(h.h.Max()), h.h.TotalCount())
	}
}

func formatMicros(v int64) string { return (time.Duration(v) * time.Microsecond).String() }
