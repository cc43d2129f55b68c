// Package synth builds synthetic configuration documents of a given size for
// benchmarks and the load tool, with predictable names of customers, models,
// versions, back ends and failure domains. Addresses are on loopback and are
// never dialled by benchmarks.
package synth

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/lovageweir/lovageweir/config"
)

// Size is the size of a document to build.
type Size struct {
	Customers        int
	Models           int
	VersionsPerModel int
	Backends         int
	Domains          int
}

// Target is the target size in the requirements: 3,600 engines over 13 failure
// domains and 17 model versions (here 9 models with 2 versions each). The
// requirements give no customer count; 2,000 is an assumption, 200 times the
// number of customers at the time.
var Target = Size{Customers: 2000, Models: 9, VersionsPerModel: 2, Backends: 3600, Domains: 13}

// ModelName returns the name of model i.
func ModelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// VersionName returns the name of version j.
func VersionName(j int) string { return fmt.Sprintf("v%d", j+1) }

// APIKey returns customer i's first API key. It is incompressible, as real keys
// are, and the same in each run.
func APIKey(i int) string { return apiKey(i, "a") }

func apiKey(i int, suffix string) string {
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d-%s", i, suffix)))
	return "key-" + hex.EncodeToString(sum[:16])
}

// Document builds a valid document of size s.
func Document(s Size) *config.Document {
	d := &config.Document{
		Customers: map[string]config.Customer{},
		Models:    map[string]config.Model{},
		Cascades:  map[string]config.Cascade{},
		Backends:  map[string]config.Backend{},
	}
	for i := 0; i < s.Models; i++ {
		m := config.Model{CostPerMTok: float64(i + 1), Versions: map[string]config.Version{}}
		for j := 0; j < s.VersionsPerModel; j++ {
			m.Versions[VersionName(j)] = config.Version{State: config.StateActive, Weight: 100 / (j + 1)}
		}
		d.Models[ModelName(i)] = m
	}
	if s.Models >= 2 {
		d.Cascades["cascade"] = config.Cascade{Steps: []config.Step{
			{Model: ModelName(0), MinScore: 0.7}, {Model: ModelName(s.Models - 1)},
		}}
	}
	for i := 0; i < s.Customers; i++ {
		c := config.Customer{APIKeys: []string{APIKey(i), apiKey(i, "b")}, Priority: i % 3, Allow: map[string][]string{}}
		for k := 0; k < 3 && k < s.Models; k++ {
			c.Allow[ModelName((i+k)%s.Models)] = []string{config.AnyVersion}
		}
		d.Customers[fmt.Sprintf("customer-%05d", i)] = c
	}
	for i := 0; i < s.Backends; i++ {
		m := i % s.Models
		v := (i / s.Models) % s.VersionsPerModel
		d.Backends[fmt.Sprintf("engine-%05d", i)] = config.Backend{
			Kind:    config.KindEngine,
			Address: fmt.Sprintf("127.%d.%d.%d:8000", 1+i/65536, (i/256)%256, i%256),
			Domain:  fmt.Sprintf("fd-%02d", i%max(s.Domains, 1)),
			Model:   ModelName(m),
			Version: VersionName(v),
		}
	}
	return d
}
