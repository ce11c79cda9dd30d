// Package operatorconfig holds the operator's queues, services and zones out of service, as they stand
// in the store, and follows their changes.
package operatorconfig
