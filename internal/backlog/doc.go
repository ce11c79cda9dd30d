// Package backlog bounds the memory of the jobs that are stored: a coordinator, and any entry that takes over from it,
// keeps all of them. The coordinator closes queues that hold too much, and entries then refuse their submissions before
// they are stored.
package backlog
