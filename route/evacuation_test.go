package route

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
)

func evacuationDoc(evacuated ...string) *config.Document {
	doc := &config.Document{
		Customers: map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"m": {config.AnyVersion}}}},
		Models:    map[string]config.Model{"m": {Versions: map[string]config.Version{"v": {State: config.StateActive, Weight: 1}}}},
		Backends: map[string]config.Backend{
			"b1": {Kind: config.KindEngine, Address: "127.0.0.1:1", Domain: "d1", Model: "m", Version: "v"},
			"b2": {Kind: config.KindEngine, Address: "127.0.0.1:2", Domain: "d2", Model: "m", Version: "v"},
		},
		Domains: map[string]config.Domain{},
	}
	for _, d := range evacuated {
		doc.Domains[d] = config.Domain{Evacuated: true}
	}
	return doc
}

// Guards against requests to back ends of an evacuated failure domain, also from entries of that domain.
func TestEvacuatedDomainIsNoCandidate(t *testing.T) {
	is := is.New(t)
	for _, domain := range []string{"d1", "d2"} {
		got, ref := NewTable(1, evacuationDoc("d1")).Decide(Request{APIKey: "k", Model: "m", Session: "s"}, View{Domain: domain})
		is.True(ref == nil)
		is.Equal(len(got.Candidates), 1)
		is.Equal(got.Candidates[0].Name, "b2")
	}
	_, ref := NewTable(1, evacuationDoc("d1", "d2")).Decide(Request{APIKey: "k", Model: "m"}, View{Domain: "d1"})
	is.Equal(ref.Status, http.StatusServiceUnavailable)
	is.Equal(ref.Message, "all failure domains that serve m@v are evacuated")
	is.True(ref.RetryAfter > 0)
}
