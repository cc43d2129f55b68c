package config_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lovageweir/lovageweir/config"
	_ "github.com/lovageweir/lovageweir/internal/rapidseed"
	"github.com/lovageweir/lovageweir/internal/synth"
)

// TestPropertyPatchIsExact (invariant 10 between peers): a delta applied to the
// document it was made from gives exactly the new configuration; applied to
// any other it fails or gives that same result, never a wrong one.
func TestPropertyPatchIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plain := func(label string) []byte {
			d := synth.Document(synth.Size{Customers: rapid.IntRange(0, 40).Draw(rt, label+"c"), Models: 3, VersionsPerModel: 2,
				Backends: rapid.IntRange(0, 40).Draw(rt, label+"b"), Domains: 2})
			b, err := json.Marshal(d)
			if err != nil {
				rt.Fatal(err)
			}
			return b
		}
		old, next, other := plain("old"), plain("next"), plain("other")
		delta, err := config.Delta(old, next)
		if err != nil {
			rt.Fatal(err)
		}
		got, err := config.Patch(old, delta)
		if err != nil || string(got) != string(next) {
			rt.Fatalf("patch: %v", err)
		}
		if got, err := config.Patch(other, delta); err == nil && string(got) != string(next) {
			rt.Fatal("a delta applied to another configuration gave a third one")
		}
	})
}

// TestDeltaIsSmall checks that the delta for one changed price is under 1 KB at
// the target size.
func TestDeltaIsSmall(t *testing.T) {
	is := is.New(t)
	doc := synth.Document(synth.Target)
	old, err := json.Marshal(doc)
	is.NoErr(err)
	m := doc.Models[synth.ModelName(0)]
	m.CostPerMTok += 70
	doc.Models[synth.ModelName(0)] = m
	next, err := json.Marshal(doc)
	is.NoErr(err)
	delta, err := config.Delta(old, next)
	is.NoErr(err)
	is.True(len(delta) < 1000)
}
