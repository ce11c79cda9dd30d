// Command tracegen writes the traces in internal/replay/testdata/traces. Run it from the root of the
// repository: go run ./internal/replay/tracegen. Equal versions write equal traces.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if err := writeAll("examples", "internal/replay/testdata/traces"); err != nil {
		fmt.Fprintln(os.Stderr, "tracegen:", err)
		os.Exit(1)
	}
}

// writeAll writes every trace for both deployments.
func writeAll(examples, directory string) error {
	for _, each := range deployments {
		for _, scenario := range scenarios {
			var trace bytes.Buffer
			if err := generate(&trace, examples, each, scenario); err != nil {
				return err
			}
			path := filepath.Join(directory, each.region+"-"+scenario.name+".jsonl")
			if err := os.WriteFile(path, trace.Bytes(), 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}
