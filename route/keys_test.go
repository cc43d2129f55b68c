package route

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
)

// Guards against an empty list of keys, models or versions being taken for all of them.
func TestEmptyListsAllowNothing(t *testing.T) {
	for _, tt := range []struct {
		name      string
		customers map[string]config.Customer
		status    int
	}{
		{"no customers", nil, http.StatusUnauthorized},
		{"no keys", map[string]config.Customer{"c": {Allow: map[string][]string{"m": {config.AnyVersion}}}}, http.StatusUnauthorized},
		{"no models", map[string]config.Customer{"c": {APIKeys: []string{"k"}}}, http.StatusForbidden},
		{"no versions", map[string]config.Customer{"c": {APIKeys: []string{"k"}, Allow: map[string][]string{"m": {}}}}, http.StatusForbidden},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			doc := evacuationDoc()
			doc.Customers = tt.customers
			for _, key := range []string{"k", ""} {
				_, ref := NewTable(1, doc).Decide(Request{APIKey: key, Model: "m", Session: "s"}, View{Domain: "d1"})
				is.True(ref != nil)
				if key != "" {
					is.Equal(ref.Status, tt.status)
				}
			}
		})
	}
}
