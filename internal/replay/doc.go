// Package replay defines the trace format, decodes traces, and replays them in virtual time against
// the decision code of the daemon. A trace states outcomes, and a replay says which of them hold.
// Equal traces give equal decision logs and verdicts. docs/traces.md describes the format.
package replay
