// Package apply is `lovagectl apply DIR`: merge a configuration folder,
// validate it, and write it to the platform KV with compare-and-swap on the
// revision it was based on.
//
// A lost acknowledgement (the KV applied the write but the answer never
// came) is the dangerous case: writing again could apply twice or, worse,
// overwrite another operator's newer change. So after an unknown outcome the
// command re-reads the key and recognises its own write by its apply id.
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

// maxAttempts bounds re-reads after unknown outcomes.
const maxAttempts = 5

// Result says what an apply did.
type Result struct {
	Revision kv.Revision
	ApplyID  string
	// Recovered is true when the write's answer was lost and the re-read
	// found it had taken effect.
	Recovered bool
}

// ErrConflict means another operator changed the configuration since it was
// read; the operator must look at the newer one before applying again.
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

// Apply writes doc if the stored configuration is still at base (0: take the
// current revision as base). It is safe against lost acknowledgements.
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
		// Unknown outcome: re-read before anything else.
		got, rerr := current(ctx, c)
		if rerr == nil && isOurs(got.Value, env.ApplyID) {
			return Result{Revision: got.ModRevision, ApplyID: env.ApplyID, Recovered: true}, nil
		}
		if rerr == nil && got.ModRevision != base {
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
