package main

import (
	"os"
	"runtime/debug"
)

const (
	// collectorPercent lets the heap grow to five times what is in use between two collections. The heaps
	// are small: with the runtime's default of 100 the collections took a sixth of the processor time of
	// the request path.
	collectorPercent = 400
	// agentMemoryLimit makes collections more frequent before an agent reaches its 128 MB on a worker.
	agentMemoryLimit = 96 << 20
	// noMemoryLimit leaves the runtime's default.
	noMemoryLimit = 0
)

// tuneCollector sets when memory is collected. GOGC and GOMEMLIMIT in the environment take precedence.
func tuneCollector(memoryLimit int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if memoryLimit != noMemoryLimit && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
