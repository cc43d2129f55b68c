package config

import (
	"bytes"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// Load reads every *.yaml and *.yml file in dir, merges them in name order
// and decodes the result strictly: an unknown field is a finding rather than
// ignored. Decoding errors are returned as Findings.
func Load(dir string) (*Document, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.y*ml"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sort.Strings(files)
	if len(files) == 0 {
		return nil, trace.NotFound("config: no YAML files in %s", dir)
	}
	merged := map[string]any{}
	var findings Findings
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		var part map[string]any
		if err := yaml.Unmarshal(raw, &part); err != nil {
			findings = append(findings, Finding{File: filepath.Base(f), Message: err.Error()})
			continue
		}
		mergeInto(merged, part)
	}
	if len(findings) > 0 {
		return nil, findings
	}
	return decodeStrict(merged)
}

// LoadValid loads and validates the configuration in dir; decoding and
// validation errors are returned as Findings.
func LoadValid(dir string) (*Document, error) {
	doc, err := Load(dir)
	if err != nil {
		return nil, err
	}
	if fs := Validate(doc); len(fs) > 0 {
		return nil, fs
	}
	return doc, nil
}

// mergeInto overlays src on dst: maps merge key by key, anything else
// (scalars, lists) is replaced whole by the later file.
func mergeInto(dst, src map[string]any) {
	for k, v := range src {
		sm, sok := v.(map[string]any)
		dm, dok := dst[k].(map[string]any)
		if sok && dok {
			mergeInto(dm, sm)
			continue
		}
		dst[k] = v
	}
}

func decodeStrict(merged map[string]any) (*Document, error) {
	raw, err := yaml.Marshal(merged)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	var doc Document
	if err := dec.Decode(&doc); err != nil {
		var findings Findings
		for _, line := range strings.Split(err.Error(), "\n") {
			line = strings.TrimSpace(strings.TrimPrefix(line, "yaml: unmarshal errors:"))
			if line != "" {
				findings = append(findings, Finding{File: "(merged)", Message: line})
			}
		}
		return nil, findings
	}
	return &doc, nil
}
