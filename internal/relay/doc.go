// Package relay lets an entry that can't reach the platform's store make its store calls through another
// entry. The relayed calls stay linearizable, so callers see no difference.
package relay
