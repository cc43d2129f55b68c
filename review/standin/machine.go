package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// zones are the zones of the deployment that the scripts play.
var zones = []string{"hobart-a", "kingston-b", "glenorchy-c"}

// machine is one machine with an entry, and the link between it and the platform's store.
type machine struct {
	name, zone string
	callers    string // address that it serves callers on
	readiness  string
	settings   string // path of its settings file
	link       *link
	process    *exec.Cmd
}

// settingsFormat is deploy/edge.yaml.tmpl with the fields of a small deployment.
const settingsFormat = `instance: %q
domain: %q
listen:
  callers: %q
  readiness: %q
  peers: %q
  loads: %q
  metrics: %q
seeds: [%q]
store: %q
memory_mb: 134
link_mbps: 1000.0
bounds:
  leaving_ms: 2000
  grace_s: 8
  session_s: 5
  repeat_ratio: 0.9
  repeat_extra: 54
  repeat_window_s: 10
  exposure_share: 0.15
  exposure_slack: 30
  halt_within_ms: 5000
`

// startMachines starts the entries of a deployment with so many machines in each zone.
func (r *run) startMachines(zones []string, counts []int) ([]*machine, error) {
	var machines []*machine
	seed := ""
	for z, zone := range zones {
		for n := range counts[z] {
			m := &machine{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone}
			var a [5]string
			for i := range a {
				var err error
				if a[i], err = freeAddress(); err != nil {
					return nil, err
				}
			}
			m.callers, m.readiness = a[0], a[1]
			if seed == "" {
				seed = a[2]
			}
			var err error
			if m.link, err = newLink(r.store); err != nil {
				return nil, err
			}
			m.settings = filepath.Join(r.dir, m.name+".yaml")
			text := fmt.Sprintf(settingsFormat, m.name, m.zone, a[0], a[1], a[2], a[3], a[4], seed, m.link.address)
			if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
				return nil, err
			}
			machines = append(machines, m)
		}
	}
	for _, m := range machines {
		if err := r.startMachine(m); err != nil {
			return nil, err
		}
	}
	for _, m := range machines {
		if err := r.await(m.name, m.ready); err != nil {
			return nil, err
		}
	}
	return machines, nil
}

// startMachine starts the machine's process with the command of deploy/system.toml.
func (r *run) startMachine(m *machine) (err error) {
	m.process, err = r.start(m.name, "target/lovageweir", "edge", "--settings", m.settings)
	return err
}

// ready asks as the platform does.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.readiness + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
