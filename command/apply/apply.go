// Package apply implements `lovagectl apply DIR`: it merges and validates a
// configuration folder and writes it to the platform KV with a compare-and-swap
// on the revision it was based on.
//
// If the KV applies the write but its acknowledgement is lost, writing again could
// apply the change twice or overwrite another operator's newer one. After an
// unknown outcome the command therefore reads the key again and recognises its own
// write by the apply id.
package apply

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/lovageweir/lovageweir/command"
	"github.com/lovageweir/lovageweir/config"
	"github.com/lovageweir/lovageweir/kv"
)

// maxAttempts bounds the attempts to write, each of which may end in an unknown
// outcome.
const maxAttempts = 5

// Result is the outcome of an apply.
type Result struct {
	Revision kv.Revision
	ApplyID  string
	// Recovered reports that the acknowledgement was lost, and that the write was
	// found to be in force afterwards.
	Recovered bool
}

// ErrConflict reports that the configuration was changed since it was read; the
// operator must review the newer one before applying again.
var ErrConflict = trace.CompareFailed("config: changed by someone else since it was read")

// Register adds the subcommand to app.
func Register(app *kingpin.Application) {
	cmd := app.Command("apply", "Merge, validate and apply a configuration folder.")
	dir := cmd.Arg("dir", "Folder of YAML files, merged in name order.").Required().ExistingDir()
	client := command.KVFlag(cmd)
	base := cmd.Flag("base-revision", "Revision the change was based on (0: the current one).").Int64()
	cmd.Action(func(*kingpin.ParseContext) error {
		doc, err := config.LoadValid(*dir)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		res, err := Apply(ctx, client(), doc, kv.Revision(*base), whoami())
		if err != nil {
			return err
		}
		fmt.Printf("applied revision %d (apply id %s, recovered after lost answer: %v)\n", res.Revision, res.ApplyID, res.Recovered)
		return nil
	})
}

func whoami() string {
	h, _ := os.Hostname()
	return os.Getenv("USER") + "@" + h
}

func newApplyID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Apply writes doc if the stored configuration is still at revision base; base 0
// stands for the current revision. It is safe against lost acknowledgements.
func Apply(ctx context.Context, c kv.KV, doc *config.Document, base kv.Revision, by string) (Result, error) {
	env := config.Envelope{ApplyID: newApplyID(), AppliedBy: by, AppliedAt: time.Now().UTC(), Document: *doc}
	val, err := env.Marshal()
	if err != nil {
		return Result{}, err
	}
	if base == 0 {
		cur, err := current(ctx, c)
		if err != nil {
			return Result{}, err
		}
		base = cur.ModRevision
	}
	for attempt := 0; attempt < maxAttempts; attempt++ {
		ok, rev, cur, err := c.CompareAndPut(ctx, config.Key, base, val, 0)
		if err == nil && ok {
			return Result{Revision: rev, ApplyID: env.ApplyID}, nil
		}
		if err == nil {
			if cur != nil && isOurs(cur.Value, env.ApplyID) {
				return Result{Revision: cur.ModRevision, ApplyID: env.ApplyID, Recovered: true}, nil
			}
			return Result{}, ErrConflict
		}
		// The outcome is unknown: read the key before writing again.
		got, readErr := current(ctx, c)
		if readErr == nil && isOurs(got.Value, env.ApplyID) {
			return Result{Revision: got.ModRevision, ApplyID: env.ApplyID, Recovered: true}, nil
		}
		if readErr == nil && got.ModRevision != base {
			return Result{}, ErrConflict
		}
		select {
		case <-time.After(time.Duration(attempt+1) * 200 * time.Millisecond):
		case <-ctx.Done():
			return Result{}, trace.Wrap(ctx.Err())
		}
	}
	return Result{}, trace.ConnectionProblem(kv.ErrUnavailable, "config: KV did not confirm the write after %d attempts; run `lovagectl status` before applying again", maxAttempts)
}

func current(ctx context.Context, c kv.KV) (kv.KeyValue, error) {
	_, kvs, err := c.Get(ctx, config.Key, false)
	if err != nil {
		return kv.KeyValue{}, err
	}
	if len(kvs) == 0 {
		return kv.KeyValue{}, nil
	}
	return kvs[0], nil
}

func isOurs(value []byte, applyID string) bool {
	env, err := config.Unmarshal(value)
	return err == nil && env.ApplyID == applyID
}
