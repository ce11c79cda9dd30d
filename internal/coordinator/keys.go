package coordinator

import (
	"strings"

	"clementineflow/internal/wire"
)

// Keys in the store.
const (
	leaderKey = "leader"
	// InputPrefix covers what other processes hand to the coordinator.
	InputPrefix    = "in/"
	jobPrefix      = InputPrefix + "job/"
	cancelPrefix   = InputPrefix + "cancel/"
	agentPrefix    = InputPrefix + "agent/"
	progressPrefix = "out/"
)

// JobKey returns the key of a job as it was handed in.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key that exists once a job is cancelled.
func CancelKey(id string) string { return cancelPrefix + id }

// AgentKey returns the key of an agent's address.
func AgentKey(name string) string { return agentPrefix + name }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return progressPrefix + id }

func progressID(key string) string { return strings.TrimPrefix(key, progressPrefix) }

// AgentRecord is the stored address of an agent.
type AgentRecord struct {
	Address string `cbor:"1,keyasint"`
}

// EncodeAgentRecord returns the stored form of an agent's address.
func EncodeAgentRecord(record *AgentRecord) ([]byte, error) { return wire.Marshal(record) }

// leaderRecord is the stored identity of the coordinator.
type leaderRecord struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Token tells two lives of an entry with one name apart.
	Token string `cbor:"3,keyasint"`
}
