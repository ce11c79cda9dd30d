// Package job defines a job of steps, its progress record and their stored encodings. It reads no clock
// and performs no I/O.
package job
