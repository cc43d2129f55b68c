// Package explain implements `lovagectl explain ID`: it reports what happened to a
// request, from the entries' logs.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// eventWindow is the time before the end of a request from which other log lines of
// its entry are listed: a change in that time may be the cause of the outcome.
const eventWindow = 10 * time.Second

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("explain", "Tell what happened to a request, from the entries' logs.")
	id := cmd.Arg("id", "The request's id (or the beginning of it).").Required().String()
	files := cmd.Arg("log", "Log files; none: standard input.").ExistingFiles()
	cmd.Action(func(*kingpin.ParseContext) error {
		lines, err := readAll(*files)
		if err != nil {
			return err
		}
		return Explain(os.Stdout, lines, *id)
	})
}

// line is one line of an entry's log.
type line struct {
	at       time.Time
	instance string
	level    string
	msg      string
	fields   map[string]any
}

func readAll(files []string) ([]line, error) {
	if len(files) == 0 {
		return Read(os.Stdin)
	}
	var all []line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		lines, err := Read(f)
		f.Close()
		if err != nil {
			return nil, trace.Wrap(err, "%s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Read parses the lines of a log. Lines that no entry wrote are skipped; a line may
// have a prefix, such as a log collector's.
func Read(r io.Reader) ([]line, error) {
	var out []line
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		start := strings.Index(text, `{"time":`)
		if start < 0 {
			continue
		}
		if l, ok := parse(text[start:]); ok {
			out = append(out, l)
		}
	}
	return out, trace.Wrap(lines.Err())
}

func parse(text string) (line, bool) {
	l := line{fields: map[string]any{}}
	if json.Unmarshal([]byte(text), &l.fields) != nil {
		return l, false
	}
	l.instance, _ = l.fields["instance"].(string)
	l.level, _ = l.fields["level"].(string)
	l.msg, _ = l.fields["msg"].(string)
	timestamp, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	l.at = at
	for _, name := range []string{"time", "level", "msg", "instance"} {
		delete(l.fields, name)
	}
	return l, err == nil
}

// Explain writes what happened to a request: the line of each entry that handled
// it, and the other lines of that entry within eventWindow before.
func Explain(w io.Writer, lines []line, id string) error {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	found := false
	for i, l := range lines {
		if got, _ := l.fields["id"].(string); got == "" || !strings.HasPrefix(got, id) {
			continue
		}
		found = true
		writeRequest(w, l)
		writeEvents(w, lines[:i], l)
	}
	if !found {
		return trace.NotFound("no line of request %q: it reached none of these entries, or its line was dropped (look for \"lines dropped\")", id)
	}
	return nil
}

func writeRequest(w io.Writer, l line) {
	f := l.fields
	took := time.Duration(toInt64(f["ms"])) * time.Millisecond
	fmt.Fprintf(w, "request %v at %s: %v, status %v\n", f["id"], l.instance, f["outcome"], f["status"])
	fmt.Fprintf(w, "  came  %s, ended after %v of %v ms allowed\n", l.at.Add(-took).Format("15:04:05.000"), took, orUnknown(f["allowed_ms"]))
	fmt.Fprintf(w, "  knew  configuration %v, store revision %v, known to be current %v ms before\n", orUnknown(f["config"]), f["revision"], orUnknown(f["age_ms"]))
	fmt.Fprintf(w, "  route %v, customer %v\n", orUnknown(f["route"]), orUnknown(f["customer"]))
	writeQueued(w, f)
	sends, _ := f["sends"].(string)
	if sends == "" {
		fmt.Fprintln(w, "  sent  to no endpoint")
		return
	}
	for send := range strings.SplitSeq(sends, "; ") {
		fmt.Fprintln(w, "  sent ", send)
	}
}

// writeQueued writes what the entry's queue decided for a request that found no capacity.
func writeQueued(w io.Writer, f map[string]any) {
	waited, hasWaited := f["waited_ms"]
	reason, isRefused := f["not_queued"]
	after, isTold := f["retry_after_ms"]
	if !hasWaited && !isRefused && !isTold {
		return
	}
	fmt.Fprintf(w, "  queue waited %v ms for capacity", toInt64(waited))
	if isRefused {
		fmt.Fprintf(w, ", not queued: %v", reason)
	}
	if isTold {
		fmt.Fprintf(w, ", told to come back after %v ms", after)
	}
	fmt.Fprintln(w)
}

// writeEvents writes the lines that the entry of a request logged within
// eventWindow before the request ended.
func writeEvents(w io.Writer, before []line, request line) {
	for _, l := range before {
		if l.instance != request.instance || request.at.Sub(l.at) > eventWindow || strings.HasPrefix(l.msg, "ingress: request") {
			continue
		}
		fmt.Fprintf(w, "  %+.3fs %s %s%s\n", l.at.Sub(request.at).Seconds(), l.level, l.msg, fields(l.fields))
	}
}

func fields(f map[string]any) string {
	names := make([]string, 0, len(f))
	for name := range f {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, f[name])
	}
	return b.String()
}

func toInt64(v any) int64 {
	n, _ := v.(float64)
	return int64(n)
}

func orUnknown(v any) any {
	if v == nil {
		return "unknown"
	}
	return v
}
