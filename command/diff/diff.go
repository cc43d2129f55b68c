// Package diff implements `lovagectl diff DIR`: it lists by path what applying a
// configuration folder would change in the platform KV.
package diff

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/command"
	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/kv"
)

const readTimeout = 10 * time.Second

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("diff", "Show what applying a folder would change.")
	dir := cmd.Arg("dir", "Folder of YAML files, merged in name order.").Required().ExistingDir()
	client := command.KVFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		next, err := config.LoadValid(*dir)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		rev, cur, err := Stored(ctx, client())
		if err != nil {
			return err
		}
		lines, err := Lines(cur, next)
		if err != nil {
			return err
		}
		for _, l := range lines {
			fmt.Println(l)
		}
		fmt.Fprintf(os.Stderr, "%d difference(s) from revision %d; apply with --base-revision %d to change just that one\n", len(lines), rev, rev)
		return nil
	})
}

// Stored reads the configuration in the KV. Without one it returns revision 0 and
// an empty document.
func Stored(ctx context.Context, c kv.KV) (kv.Revision, *config.Document, error) {
	_, kvs, err := c.Get(ctx, config.Key, false)
	if err != nil || len(kvs) == 0 {
		return 0, &config.Document{}, trace.Wrap(err)
	}
	env, err := config.Unmarshal(kvs[0].Value)
	return kvs[0].ModRevision, &env.Document, trace.Wrap(err)
}

// Lines lists the differences from cur to next, sorted by path: "+" added, "-"
// removed, "~" changed.
func Lines(cur, next *config.Document) ([]string, error) {
	a, err := flatten(cur)
	if err != nil {
		return nil, err
	}
	b, err := flatten(next)
	if err != nil {
		return nil, err
	}
	var out []string
	for path, v := range a {
		switch w, ok := b[path]; {
		case !ok:
			out = append(out, fmt.Sprintf("- %s: %s", path, v))
		case v != w:
			out = append(out, fmt.Sprintf("~ %s: %s -> %s", path, v, w))
		}
	}
	for path, w := range b {
		if _, ok := a[path]; !ok {
			out = append(out, fmt.Sprintf("+ %s: %s", path, w))
		}
	}
	slices.SortFunc(out, func(x, y string) int { return slices.Compare([]byte(x[2:]), []byte(y[2:])) })
	return out, nil
}

// flatten maps the path of each leaf of the document to its value as JSON.
func flatten(d *config.Document) (map[string]string, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var tree map[string]any
	if err := json.Unmarshal(b, &tree); err != nil {
		return nil, trace.Wrap(err)
	}
	out := map[string]string{}
	walk(out, "", tree)
	return out, nil
}

func walk(out map[string]string, path string, v any) {
	m, ok := v.(map[string]any)
	if !ok {
		b, _ := json.Marshal(v) // cannot fail: v was decoded from JSON
		out[path] = string(b)
		return
	}
	for k, v := range m {
		at := k
		if path != "" {
			at = path + "." + k
		}
		walk(out, at, v)
	}
}
