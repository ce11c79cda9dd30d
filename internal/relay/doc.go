// Package relay lets an entry whose path to the platform's store is cut make its store calls through
// another entry. The store's answers stay linearizable, so nothing else changes for the caller.
package relay
