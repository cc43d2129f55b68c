package diff

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/config"
)

func TestLinesListEveryChangeByPath(t *testing.T) {
	is := is.New(t)
	model := func(weights map[string]int) *config.Document {
		m := config.Model{Versions: map[string]config.Version{}}
		for v, w := range weights {
			m.Versions[v] = config.Version{State: config.StateActive, Weight: w}
		}
		return &config.Document{Models: map[string]config.Model{"m": m}}
	}
	lines, err := Lines(model(map[string]int{"v1": 100, "v0": 0}), model(map[string]int{"v1": 90, "v2": 10}))
	is.NoErr(err)
	is.Equal(lines, []string{
		`- models.m.versions.v0.state: "active"`,
		`- models.m.versions.v0.weight: 0`,
		`~ models.m.versions.v1.weight: 100 -> 90`,
		`+ models.m.versions.v2.state: "active"`,
		`+ models.m.versions.v2.weight: 10`,
	})
}
