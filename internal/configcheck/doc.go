// Package configcheck checks configuration documents before they are submitted: the operator's queues and services, and the
// configuration of a region. It keeps the line of each entry. It does no input or output.
package configcheck
