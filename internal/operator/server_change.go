package operator

import (
	"context"

	operatorv1 "clementineflow/api/operator/v1"
)

// configurationChange holds the arguments of Configuration.Change.
type configurationChange struct {
	requestID string
	author    string
	summary   string
	mutation  Mutation
}

// commitChange commits the change. The response lists the entries and workers that have not confirmed
// the new revision.
func (s *Server) commitChange(ctx context.Context, c configurationChange) (*operatorv1.ChangeResponse, error) {
	revision, err := s.config.Configuration.Change(ctx, c.requestID, changeAuthor(ctx, c.author), c.summary, c.mutation)
	if err != nil {
		return nil, err
	}
	return &operatorv1.ChangeResponse{Revision: revision, Propagation: s.snapshotRevisions().propagation(revision)}, nil
}

// logChange logs the outcome of an attempted change.
func (s *Server) logChange(ctx context.Context, action, requestID, subject string, err error) {
	if err != nil {
		s.config.Logger.Warn("change refused", "action", action, "subject", subject, "request_id", requestID,
			"author", changeAuthor(ctx, ""), "reason", err)
		return
	}
	s.config.Logger.Info("change accepted", "action", action, "subject", subject, "request_id", requestID,
		"author", changeAuthor(ctx, ""))
}

// snapshotRevisions collects the last known revision of each entry and worker.
func (s *Server) snapshotRevisions() revisionSnapshot {
	snapshot := revisionSnapshot{
		self: s.config.Name, registered: s.config.Entries.Entries(),
		peers: s.config.Fleet.PeerRevisions(), workers: s.config.Fleet.Views(),
	}
	if document := s.config.Configuration.Document(); document != nil {
		snapshot.selfRevision = document.Revision
		snapshot.configured = document.Entries
	}
	return snapshot
}
