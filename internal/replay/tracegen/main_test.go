package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestCommittedTraces guards against committed traces that the generator does not write, so that nobody
// can tell which requirements they state.
func TestCommittedTraces(t *testing.T) {
	for _, each := range deployments {
		for _, scenario := range scenarios {
			var written bytes.Buffer
			if err := generate(&written, "../../../examples", each, scenario); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("../testdata/traces", each.region+"-"+scenario.name+".jsonl")
			committed, err := os.ReadFile(path)
			if err != nil || !bytes.Equal(written.Bytes(), committed) {
				t.Errorf("%s differs from the generator's output: %v", path, err)
			}
		}
	}
}
