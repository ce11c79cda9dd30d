package main

import (
	"os"
	"runtime/debug"

	"clementineflow/internal/settings"
)

const (
	// gcPercent lets the heap grow to five times the live heap between two collections. The heaps
	// are small; with the runtime's default of 100, garbage collection took a sixth of the processor time
	// of the request path.
	gcPercent = 400
	// agentMemoryLimit is the soft memory limit of an agent in bytes. Collections become more frequent
	// before the agent reaches its 128 MB on a worker.
	agentMemoryLimit = 96 << 20
	// noMemoryLimit keeps the runtime's default memory limit.
	noMemoryLimit = 0
)

// goMemoryLimit returns the Go runtime's soft memory limit of a process, or the fallback if the process has no limit.
func goMemoryLimit(limits settings.Limits, fallback int64) int64 {
	if limits.MemoryBytes == 0 {
		return fallback
	}
	return int64(memoryLimitFraction * float64(limits.MemoryBytes))
}

// configureGC configures the garbage collector. GOGC and GOMEMLIMIT in the environment take precedence.
func configureGC(memoryLimit int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if memoryLimit != noMemoryLimit && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
