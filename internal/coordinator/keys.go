package coordinator

import (
	"strings"

	"clementineflow/internal/wire"
)

// Keys in the store.
const (
	leaderKey = "leader"
	// backlogKey holds what the coordinator has no room for. It has the prefix leaderKey, so that the watch of the leader
	// reports it as well.
	backlogKey = leaderKey + "/backlog"
	// handoverKey holds the record of a term that has ended by itself, until the next term takes it.
	handoverKey = "handover"
	// pressuresKey holds the pressures of fillers that the coordinators have learned.
	pressuresKey = "learned/pressures"
	// InputPrefix is the prefix of all keys that other processes write for the coordinator.
	InputPrefix    = "in/"
	jobPrefix      = InputPrefix + "job/"
	cancelPrefix   = InputPrefix + "cancel/"
	agentPrefix    = InputPrefix + "agent/"
	progressPrefix = "out/"
)

// JobKey returns the key of a submitted job.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key that exists once a job is cancelled.
func CancelKey(id string) string { return cancelPrefix + id }

// AgentKey returns the key of an agent's record.
func AgentKey(name string) string { return agentPrefix + name }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id string) string { return progressPrefix + id }

func progressID(key string) string { return strings.TrimPrefix(key, progressPrefix) }

// AgentRecord is the stored address of an agent.
type AgentRecord struct {
	Address string `cbor:"1,keyasint"`
}

// EncodeAgentRecord returns the record's stored encoding.
func EncodeAgentRecord(record *AgentRecord) ([]byte, error) { return wire.Marshal(record) }

// leaderRecord is the stored identity of the coordinator.
type leaderRecord struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Token distinguishes incarnations of an entry with the same name.
	Token string `cbor:"3,keyasint"`
}
