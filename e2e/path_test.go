package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lovageweir/lovageweir/openai"
	"github.com/lovageweir/lovageweir/standin/engine"
)

type cluster struct {
	entryURL string
	kvURL    string
	ctl      string
	entry    *proc
}

// startCluster runs a KV stand-in, one engine and one entry, and applies a
// configuration in which customer "allowed" may use model m and customer
// "narrow" may use nothing but model other.
func startCluster(t *testing.T) cluster {
	return startClusterStep(t, "1ms")
}

// startClusterStep is startCluster with the engine's time per token.
func startClusterStep(t *testing.T, step string) cluster {
	t.Helper()
	entry, ctl := binaries(t)
	kvAddr, engAddr, entryAddr := freeAddr(t), freeAddr(t), freeAddr(t)
	start(t, ctl, "standin", "kv", "--listen", kvAddr)
	start(t, ctl, "standin", "engine", "--listen", engAddr, "--model", "m", "--version", "v1", "--step", step)
	dir := t.TempDir()
	settings := fmt.Sprintf("instance: e1\ndomain: fd-1\nlisten: %s\nkv: http://%s\n", entryAddr, kvAddr)
	write(t, filepath.Join(dir, "entry.yaml"), settings)
	cfg := filepath.Join(dir, "cfg")
	write(t, filepath.Join(cfg, "10-models.yaml"), "models:\n  m: {versions: {v1: {state: active, weight: 1}}}\n  other: {versions: {v1: {state: active, weight: 1}}}\n")
	write(t, filepath.Join(cfg, "20-customers.yaml"), "customers:\n  allowed: {api_keys: [ka], allow: {m: ['*']}}\n  narrow: {api_keys: [kn], allow: {other: ['*']}}\n")
	write(t, filepath.Join(cfg, "30-backends.yaml"), fmt.Sprintf("backends:\n  e-m: {kind: engine, address: %s, domain: fd-1, model: m, version: v1}\n", engAddr))
	waitHTTP(t, "http://"+kvAddr+"/debug/state")
	ep := start(t, entry, "-c", filepath.Join(dir, "entry.yaml"))
	waitHTTP(t, "http://"+entryAddr+"/healthz")
	out, err := exec.Command(ctl, "apply", cfg, "--kv", "http://"+kvAddr).CombinedOutput()
	if err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	waitHTTP(t, "http://"+entryAddr+"/readyz")
	return cluster{entryURL: "http://" + entryAddr, kvURL: "http://" + kvAddr, ctl: ctl, entry: ep}
}

func write(t *testing.T, path, body string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(body), 0o644); err != nil {
		t.Fatal(err)
	}
}

func chat(t *testing.T, url, key, model string, stream bool, tokens int) *http.Response {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, model, stream, tokens)
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

func TestStreamedAnswerArrivesWholeAndInOrder(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	const tokens = 20
	resp := chat(t, c.entryURL, "ka", "m", true, tokens)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	rid := resp.Header.Get(openai.HeaderRequestID)
	is.True(rid != "")
	var got []string
	done := false
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			done = true
			break
		}
		var ch openai.Chunk
		is.NoErr(json.Unmarshal([]byte(line), &ch))
		is.Equal(ch.ID, rid) // never another request's chunk
		got = append(got, ch.Choices[0].Delta.Content)
	}
	is.True(done) // the stream ended with [DONE], not cut off
	is.Equal(len(got), tokens)
	for i, tok := range got {
		is.Equal(tok, engine.Token(rid, i)) // whole and in order
	}
}

func TestDisallowedModelIsRefusedNotRun(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	resp := chat(t, c.entryURL, "kn", "m", false, 3)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusForbidden)
	var body openai.ErrorBody
	is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
	is.Equal(body.Error.Type, openai.OutcomeNotRun)
	is.Equal(body.Error.Code, "model_not_allowed")
	is.Equal(resp.Header.Get(openai.HeaderBackend), "") // no back end was called
}
