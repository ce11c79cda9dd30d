package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record collects what was sent, answered and run, in the order of its arrival.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

// add writes one line with the time since the start of the case.
func (r *record) add(who, format string, args ...any) {
	r.addAt(time.Now(), who, format, args...)
}

func (r *record) addAt(at time.Time, who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %-10s  %s\n", at.Sub(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// seconds returns a time as seconds since the start of the case.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }
