// Package operatorconfig holds a view of the operator's queues, services and zones out of service as
// stored, and updates it from the store's events.
package operatorconfig
