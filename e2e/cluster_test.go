package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/lovageweir/lovageweir/agent"
	"github.com/lovageweir/lovageweir/openai"
)

// clusterOptions describe a test cluster.
type clusterOptions struct {
	entries      int    // in failure domain fd-1, peers of each other
	step         string // time per token of the engines; "" is 1ms
	config       string // additional configuration, merged last
	rater        string // skills as JSON; "" starts no rater
	work         string // time per call of the service; "" is 5ms
	drainTimeout string // drain_timeout of the entries; "" leaves the default
	maxFDs       int    // resource limit of the entries' descriptors; 0: that of the test
}

// cluster is a KV stand-in, two engines of model m (v1 and v2), a plain
// service, an instance list and entries, each a process.
type cluster struct {
	ctl       string
	dir       string
	kv        string
	engines   map[string]string // by version
	service   string
	instances string
	entries   []*entry
}

type entry struct {
	url string
	*process
}

// baseConfig is the initial configuration of every cluster. Customer "allowed" may
// use model m and the service, customer "narrow" only model other.
const baseConfig = `
models:
  m: {cost_per_mtok: 1, versions: {v1: {state: active, weight: 1}, v2: {state: active, weight: 0}}}
  other: {versions: {v1: {state: active, weight: 1}}}
  postings: {versions: {v1: {state: active, weight: 1}}}
customers:
  allowed: {api_keys: [ka], allow: {m: ['*'], postings: ['*']}}
  narrow: {api_keys: [kn], allow: {other: ['*']}}
backends:
  e-v1: {kind: engine, address: ENGINE1, domain: fd-1, model: m, version: v1}
  e-v2: {kind: engine, address: ENGINE2, domain: fd-1, model: m, version: v2}
  svc: {kind: service, address: SERVICE, domain: fd-1, model: postings, version: v1}
`

const sessionKeys = "session_key_current: k1\nsession_keys: {k1: 6c6f76616765776569722d64656d6f2d6b65792d6e6f742d666f722d75736521}\n"

func startCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	entryBin, ctl := buildBinaries(t)
	if options.step == "" {
		options.step = "1ms"
	}
	if options.work == "" {
		options.work = "5ms"
	}
	c := &cluster{ctl: ctl, dir: t.TempDir(), kv: freeAddr(t), service: freeAddr(t), instances: freeAddr(t),
		engines: map[string]string{"v1": freeAddr(t), "v2": freeAddr(t)}}
	startProcess(t, ctl, "standin", "kv", "--listen", c.kv)
	startProcess(t, ctl, "standin", "service", "--listen", c.service, "--work", options.work)
	startProcess(t, ctl, "standin", "instances", "--listen", c.instances, "--lag", "500ms")
	for v, addr := range c.engines {
		startProcess(t, ctl, "standin", "engine", "--listen", addr, "--model", "m", "--version", v, "--step", options.step)
	}
	rater := ""
	if options.rater != "" {
		addr := freeAddr(t)
		startProcess(t, ctl, "standin", "rater", "--listen", addr, "--skill", options.rater)
		waitHTTP(t, "http://"+addr+"/debug/state")
		rater = "rater: http://" + addr + "\n"
	}
	for _, addr := range []string{c.kv, c.service, c.instances, c.engines["v1"], c.engines["v2"]} {
		waitHTTP(t, "http://"+addr+"/debug/state")
	}
	drainTimeout := ""
	if options.drainTimeout != "" {
		drainTimeout = "drain_timeout: " + options.drainTimeout + "\n"
	}
	addrs := make([]string, options.entries)
	for i := range addrs {
		addrs[i] = freeAddr(t)
	}
	for i, addr := range addrs {
		settings := fmt.Sprintf("instance: e%d\ndomain: fd-1\nlisten: %s\nkv: http://%s\ninstances: http://%s\npeers: [http://%s]\nmanage_engines: true\n%s%s%s",
			i, addr, c.kv, c.instances, strings.Join(addrs, ", http://"), rater, drainTimeout, sessionKeys)
		path := filepath.Join(c.dir, fmt.Sprintf("entry-%d.yaml", i))
		writeFile(t, path, settings)
		c.entries = append(c.entries, &entry{url: "http://" + addr, process: startLimited(t, options.maxFDs, entryBin, "-c", path)})
	}
	for _, e := range c.entries {
		waitHTTP(t, e.url+"/healthz")
	}
	c.apply(t, options.config)
	for _, e := range c.entries {
		waitHTTP(t, e.url+"/readyz")
	}
	return c
}

// apply applies the base configuration with overrides merged into it.
func (c *cluster) apply(t *testing.T, overrides string) {
	t.Helper()
	dir := filepath.Join(c.dir, "cfg")
	b := strings.NewReplacer("ENGINE1", c.engines["v1"], "ENGINE2", c.engines["v2"], "SERVICE", c.service).Replace(baseConfig)
	writeFile(t, filepath.Join(dir, "10-base.yaml"), b)
	writeFile(t, filepath.Join(dir, "90-more.yaml"), overrides+"\n")
	if out, err := exec.Command(c.ctl, "apply", dir, "--kv", "http://"+c.kv).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
}

func writeFile(t *testing.T, path, body string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(body), 0o644); err != nil {
		t.Fatal(err)
	}
}

// request is a chat request.
type request struct {
	key, model            string
	stream                bool
	tokens                int
	session, sessionToken string
	onFirstChunk          func() // called when the first chunk has arrived
}

// response is the response to a chat request.
type response struct {
	status      int
	header      http.Header
	requestID   string
	body        []byte // of non-streamed responses and of refusals
	chunks      []openai.Chunk
	done        bool // the stream ended with [DONE]
	inBandError string
	err         error // of reading the response, such as a broken connection
}

// chat sends a request through an entry and reads the whole response.
func (c *cluster) chat(t *testing.T, entry int, r request) response {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, r.model, r.stream, r.tokens)
	req, _ := http.NewRequest(http.MethodPost, c.entries[entry].url+"/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set(openai.HeaderSessionID, r.session)
	req.Header.Set(openai.HeaderSessionToken, r.sessionToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	a := response{status: resp.StatusCode, header: resp.Header, requestID: resp.Header.Get(openai.HeaderRequestID)}
	if !r.stream || resp.StatusCode != http.StatusOK {
		a.body, a.err = io.ReadAll(resp.Body)
		return a
	}
	a.readStream(t, resp.Body, r.onFirstChunk)
	return a
}

func (a *response) readStream(t *testing.T, body io.Reader, onFirstChunk func()) {
	t.Helper()
	sc := bufio.NewScanner(body)
	for sc.Scan() && !a.done {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		switch {
		case !ok:
		case string(data) == "[DONE]":
			a.done = true
		case bytes.Contains(data, []byte(`"error"`)):
			a.inBandError = string(data)
		default:
			var ch openai.Chunk
			if err := json.Unmarshal(data, &ch); err != nil {
				t.Fatal(err)
			}
			a.chunks = append(a.chunks, ch)
			if len(a.chunks) == 1 && onFirstChunk != nil {
				onFirstChunk()
			}
		}
	}
	a.err = sc.Err()
}

// putJSON sends body to a stand-in.
func putJSON(t *testing.T, url, body string) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// getJSON decodes the JSON response of url into out.
func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}

func (c *cluster) dump(t *testing.T, entry int) agent.Dump {
	t.Helper()
	var d agent.Dump
	getJSON(t, c.entries[entry].url+"/debug/state", &d)
	return d
}
