// Package job defines a job of steps, the record of its progress and their stored encodings. It is
// pure: it reads no clock and performs no I/O.
package job
