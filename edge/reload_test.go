package edge

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/fleet"
	"github.com/lovageweir/lovageweir/kv/memkv"
	"github.com/lovageweir/lovageweir/mesh"
	"github.com/lovageweir/lovageweir/platform"
)

// Guards against an invalid settings file stopping a running entry or being applied in
// part. The file becomes invalid, then valid again, and is then removed.
func TestReloadKeepsSettingsWhenFileIsInvalid(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	clock := clockwork.NewFakeClock()
	f := fleet.NewFollower(fleet.Entry{}, memkv.New(clock), platform.Values{}, 0, clock, log)
	m := mesh.New(mesh.Deps{Seeds: []string{"127.0.0.1:5"}, Fleet: f, Clock: clock, Log: log})
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }

	write(validSettings)
	last := reload(path, []byte(validSettings), m, log)
	is.Equal(out.Len(), 0) // nothing has changed

	write(strings.Replace(validSettings, "instance: front-1", "instance: ''", 1))
	last = reload(path, last, m, log)
	is.True(strings.Contains(out.String(), "not valid; keeping what runs"))
	is.True(strings.Contains(out.String(), "instance"))
	out.Reset()
	reload(path, last, m, log)
	is.Equal(out.Len(), 0) // reported once only

	write(strings.Replace(validSettings, `seeds: ["127.0.0.1:5"]`, `seeds: ["127.0.0.1:7", "127.0.0.1:8"]`, 1))
	reload(path, last, m, log)
	is.True(strings.Contains(out.String(), "settings changed"))
	is.True(strings.Contains(out.String(), "seeds=2"))

	is.NoErr(os.Remove(path))
	reload(path, last, m, log)
	is.True(strings.Contains(out.String(), "cannot be read; keeping what runs"))
}
