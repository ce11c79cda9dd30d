package entry

import (
	"clementineflow/internal/membership"
	"clementineflow/internal/shard"
	"clementineflow/internal/wire"
)

// operatorEntries implements operator.Entries over the entry registrations and the shard manager.
type operatorEntries struct {
	member  *membership.Member
	manager *shard.Manager
}

// Entries implements operator.Entries.
func (d operatorEntries) Entries() []wire.EntryAddress {
	return fleetStatus{member: d.member}.Entries()
}

// TaskOwner implements operator.Entries.
func (d operatorEntries) TaskOwner(taskID string) (string, bool) {
	return d.manager.Owner(shard.ForTask(taskID))
}

// Shards implements operator.Entries.
func (d operatorEntries) Shards(entry string) []uint32 {
	var owned []uint32
	for id := range uint16(shard.Count) {
		if owner, ok := d.manager.Owner(id); ok && owner == entry {
			owned = append(owned, uint32(id))
		}
	}
	return owned
}
