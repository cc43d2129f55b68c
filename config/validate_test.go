package config

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an evacuation of a misspelt failure domain that is accepted and does nothing.
func TestEvacuationOfAnUnknownDomainIsAFinding(t *testing.T) {
	is := is.New(t)
	doc := &Document{
		Models:   map[string]Model{"m": {Versions: map[string]Version{"v": {State: StateActive, Weight: 1}}}},
		Backends: map[string]Backend{"b": {Kind: KindEngine, Address: "127.0.0.1:1", Domain: "fd-1", Model: "m", Version: "v"}},
		Domains:  map[string]Domain{"fd-1": {Evacuated: true}, "fd1": {Evacuated: true}},
	}
	is.Equal(Validate(doc), Findings{{Path: "domains.fd1", Message: `no back end is in failure domain "fd1"`}})
}
