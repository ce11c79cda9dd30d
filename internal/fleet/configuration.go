package fleet

import (
	"slices"

	"clementineflow/internal/configuration"
	"clementineflow/internal/wire"
)

// encodeDocument returns the encoded current document for a role and its revision. The data is nil if
// no document is known or it cannot be encoded. Agents get the document without the list of changes:
// only operators read that list, and it made up 8.2 of the 8.9 KB sent to each agent on a change.
// The caller holds the mutex.
func (h *Hub) encodeDocument(role wire.Role) ([]byte, uint64) {
	document := h.config.Status.Document()
	if document == nil {
		return nil, 0
	}
	cached := h.encoded[role]
	if cached.revision == document.Revision && cached.data != nil {
		return cached.data, document.Revision
	}
	toEncode := *document
	if role == wire.RoleAgent {
		toEncode.Changes = nil
	}
	data, err := wire.Marshal(&toEncode)
	if err != nil {
		h.config.Logger.Error("cannot encode configuration", "revision", document.Revision, "err", err)
		return nil, 0
	}
	h.encoded[role] = encodedDocument{revision: document.Revision, data: data}
	return data, document.Revision
}

// forwardConfiguration sends the current document to every link whose other side has a lower
// revision. If a send queue is full, the revision of the link stays as it is and the next call retries.
func (h *Hub) forwardConfiguration() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for conn := range h.links {
		data, revision := h.encodeDocument(conn.role)
		if data == nil || conn.revision >= revision {
			continue
		}
		if conn.Send(&wire.Configuration{Revision: revision, Document: data}) == nil {
			conn.revision = revision
		}
	}
}

// handleConfiguration stores a document received from the other side of a link and forwards it, if its
// revision is higher than that of the current document. Status.Observe ignores a lower revision.
func (h *Hub) handleConfiguration(conn *connection, data []byte) {
	document, err := wire.Unmarshal[configuration.Document](data)
	if err != nil {
		h.config.Logger.Warn("cannot decode configuration", "from", conn.name, "err", err)
		return
	}
	if document.Region != "" && document.Region != h.config.Region {
		h.config.Logger.Warn("ignored configuration of another region", "from", conn.name, "region", document.Region)
		return
	}
	h.recordRevision(conn, document.Revision)
	if document.Revision <= documentRevision(h.config.Status.Document()) {
		return
	}
	h.config.Status.Observe(document)
	h.forwardConfiguration()
}

// recordRevision records a configuration revision reported by the other side of a link.
func (h *Hub) recordRevision(conn *connection, revision uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	conn.revision = max(conn.revision, revision)
	if conn.role != wire.RoleEntry {
		return
	}
	if p, ok := h.peers[conn.name]; ok {
		p.revision = max(p.revision, revision)
	}
}

// announceEntries sends another Welcome to each agent whose last Welcome had a different list of
// entries. This is the only way in which a connected agent gets the address of an entry that
// registered later.
func (h *Hub) announceEntries() {
	entries := h.config.Status.Entries()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for conn := range h.links {
		if conn.role == wire.RoleAgent && !slices.Equal(conn.entries, entries) {
			h.sendWelcome(conn)
		}
	}
}
